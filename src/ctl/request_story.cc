#include "include/ctl/request_story.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "src/ctl/json_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

// What a router learnt longer before a request ended has shown in its other
// requests already.
constexpr Duration kBefore = std::chrono::seconds(10);
constexpr size_t kMostBefore = 12;

struct ReasonText {
  const char* reason;
  const char* text;
};

constexpr ReasonText kReasonTexts[] = {
    {"deadline",
     "not run: no place became free in the time that it could wait"},
    {"queue_full",
     "not run: more requests waited than could be served in time"},
    {"shed", "not run: requests that matter more had the places"},
    {"no_upstream", "not run: the router knew no usable upstream"},
    {"no_manifest", "not run: the router had no configuration yet"},
    {"no_route", "refused: no route of the configuration matches it"},
    {"unknown_key", "refused: no account of the configuration has its key"},
    {"over_quota", "not run: its account had used up its quota"},
    {"attempts_failed", "failed: no attempt that its route allows succeeded"},
    {"timeout", "failed: its time was over before its answer was whole"},
    {"caller_gone", "given up: its caller closed the connection"},
    {"answer_cut",
     "cut: its upstream broke off in an answer that can't be continued"},
    {"", "served"},
};

std::string TextOf(const std::string& reason) {
  for (const ReasonText& entry : kReasonTexts) {
    if (reason == entry.reason) {
      return entry.text;
    }
  }
  return "ended: " + reason;
}

std::string SecondOf(const std::string& clock) {
  return clock.substr(0, clock.find('.'));
}

std::string CrowdKey(const std::string& router,
                     const std::string& clock,
                     const std::string& reason) {
  return absl::StrCat(router, " ", SecondOf(clock), " ", reason);
}

Duration TimeOf(const std::string& clock) {
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, clock, &time, &error)) {
    return Duration();
  }
  return std::chrono::nanoseconds(absl::ToUnixNanos(time));
}

// `name=value` of all fields that people need.
std::string FieldsText(const json::object& fields) {
  constexpr absl::string_view kLeftOut[] = {"t", "event", "name", "severity",
                                            "request"};
  std::string text;
  for (const auto& [key, value] : fields) {
    const absl::string_view name(key.data(), key.size());
    if (std::find(std::begin(kLeftOut), std::end(kLeftOut), name) !=
        std::end(kLeftOut)) {
      continue;
    }
    const std::string shown = JsonForPeople(value);
    if (!shown.empty()) {
      absl::StrAppend(&text, " ", name, "=", shown);
    }
  }
  return text;
}

}  // namespace

RequestStory::RequestStory(std::string request)
    : request_(std::move(request)) {}

void RequestStory::AddLine(const std::string& log, const std::string& line) {
  const size_t begin = line.find('{');
  if (begin == std::string::npos) {
    return;
  }
  boost::system::error_code error;
  json::value value = json::parse(line.substr(begin), error);
  if (error || !value.is_object()) {
    return;
  }
  Line entry;
  entry.fields = std::move(value.as_object());
  const std::vector<std::string> words =
      absl::StrSplit(line.substr(0, begin), ' ', absl::SkipEmpty());
  entry.router = words.empty() ? log : words.back();
  entry.clock = JsonText(entry.fields, "t");
  entry.time = TimeOf(entry.clock);
  if (!entry.fields.contains("request")) {
    beliefs_.push_back(std::move(entry));
    return;
  }
  Crowd& crowd = crowds_[CrowdKey(entry.router, entry.clock,
                                  JsonText(entry.fields, "reason"))];
  ++crowd.requests;
  ++crowd.by_account[JsonText(entry.fields, "account")];
  if (JsonText(entry.fields, "request") == request_) {
    own_.push_back(std::move(entry));
  }
}

std::vector<const RequestStory::Line*> RequestStory::Before(
    const Line& own) const {
  std::vector<const Line*> before;
  for (const Line& line : beliefs_) {
    if (line.router == own.router && line.time <= own.time &&
        line.time > own.time - kBefore) {
      before.push_back(&line);
    }
  }
  std::stable_sort(
      before.begin(), before.end(),
      [](const Line* a, const Line* b) { return a->time < b->time; });
  if (before.size() > kMostBefore) {
    before.erase(before.begin(), before.end() - kMostBefore);
  }
  return before;
}

const RequestStory::Crowd* RequestStory::CrowdOf(const Line& own) const {
  const auto found = crowds_.find(
      CrowdKey(own.router, own.clock, JsonText(own.fields, "reason")));
  return found == crowds_.end() ? nullptr : &found->second;
}

std::string RequestStory::Describe(const Line& own) const {
  const std::string reason = JsonText(own.fields, "reason");
  std::string text =
      absl::StrCat(own.clock, " ", own.router, ": ", TextOf(reason), "\n  ",
                   JsonText(own.fields, "name"), FieldsText(own.fields), "\n");
  const Crowd* crowd = CrowdOf(own);
  if (!reason.empty() && crowd != nullptr && crowd->requests > 1) {
    const auto most = std::max_element(
        crowd->by_account.begin(), crowd->by_account.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    absl::StrAppend(&text,
                    "  the same in that second there: ", crowd->requests - 1,
                    " more logged");
    if (!most->first.empty()) {
      absl::StrAppend(&text, ", most of account ", most->first);
    }
    text += "\n";
  }
  const std::vector<const Line*> before = Before(own);
  if (!before.empty()) {
    text += "  what this router learnt in the 10 s before:\n";
  }
  for (const Line* line : before) {
    absl::StrAppend(&text, "    ", line->clock, " ",
                    JsonText(line->fields, "name"), FieldsText(line->fields),
                    "\n");
  }
  return text;
}

std::string RequestStory::ToText() const {
  std::vector<const Line*> lines;
  for (const Line& line : own_) {
    lines.push_back(&line);
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line* a, const Line* b) { return a->time < b->time; });
  std::string text;
  for (const Line* line : lines) {
    text += Describe(*line);
  }
  return text;
}

json::object RequestStory::ToJson() const {
  json::array lines;
  for (const Line& own : own_) {
    json::array before;
    for (const Line* line : Before(own)) {
      before.push_back(line->fields);
    }
    lines.push_back(json::object{
        {"router", own.router},
        {"cause", TextOf(JsonText(own.fields, "reason"))},
        {"line", own.fields},
        {"before", std::move(before)},
    });
  }
  return json::object{{"request", request_}, {"lines", std::move(lines)}};
}

}  // namespace papaya
