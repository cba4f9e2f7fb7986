#include "include/ctl/request_history.h"

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

// Events that a router logged earlier than this before the end of a request
// have already affected its other requests.
constexpr Duration kEventWindow = std::chrono::seconds(10);
constexpr size_t kMaxEventsShown = 12;

struct ReasonText {
  const char* reason;
  const char* text;
};

constexpr ReasonText kReasonTexts[] = {
    {"deadline", "not run: no slot became free before its deadline"},
    {"queue_full",
     "not run: more requests were queued than could be served in time"},
    {"shed", "not run: requests of a higher tier used the slots"},
    {"no_upstream", "not run: the router knew no usable upstream"},
    {"no_manifest", "not run: the router had no configuration yet"},
    {"no_route", "rejected: no route in the configuration matches it"},
    {"unknown_key", "rejected: no account in the configuration has its key"},
    {"over_quota", "not run: its account had used up its quota"},
    {"attempts_failed", "failed: all attempts that its route allows failed"},
    {"upstreams_closed",
     "not run: all upstreams had asked the router to wait for too long"},
    {"zones_evacuated",
     "not run: all upstreams that could serve it were in evacuated zones"},
    {"no_allowed_region",
     "not run: no upstream was in a region that it may reach"},
    {"part_quarantined",
     "not sent: a part of its prompt crashed upstreams and is quarantined"},
    {"timeout", "failed: it timed out before its response was complete"},
    {"caller_gone", "abandoned: its caller closed the connection"},
    {"answer_cut",
     "cut: its upstream closed a response that cannot be resumed"},
    {"", "served"},
};

std::string DescribeReason(const std::string& reason) {
  for (const ReasonText& entry : kReasonTexts) {
    if (reason == entry.reason) {
      return entry.text;
    }
  }
  return "ended: " + reason;
}

std::string TruncateToSecond(const std::string& clock) {
  return clock.substr(0, clock.find('.'));
}

std::string GroupKey(const std::string& router,
                     const std::string& clock,
                     const std::string& reason) {
  return absl::StrCat(router, " ", TruncateToSecond(clock), " ", reason);
}

Duration ParseLogTime(const std::string& clock) {
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, clock, &time, &error)) {
    return Duration();
  }
  return std::chrono::nanoseconds(absl::ToUnixNanos(time));
}

// Formats the fields as ` name=value`, except those that are empty or already
// printed in another form.
std::string FieldsText(const json::object& fields) {
  constexpr absl::string_view kOmittedFields[] = {"t", "event", "name",
                                                  "severity", "request"};
  std::string text;
  for (const auto& [key, value] : fields) {
    const absl::string_view name(key.data(), key.size());
    if (std::find(std::begin(kOmittedFields), std::end(kOmittedFields), name) !=
        std::end(kOmittedFields)) {
      continue;
    }
    const std::string formatted = FormatJsonValue(value);
    if (!formatted.empty()) {
      absl::StrAppend(&text, " ", name, "=", formatted);
    }
  }
  return text;
}

}  // namespace

RequestHistory::RequestHistory(std::string request)
    : request_(std::move(request)) {}

void RequestHistory::AddLine(const std::string& log, const std::string& line) {
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
  entry.clock = JsonString(entry.fields, "t");
  entry.time = ParseLogTime(entry.clock);
  if (!entry.fields.contains("request")) {
    router_events_.push_back(std::move(entry));
    return;
  }
  OutcomeGroup& group = groups_[GroupKey(entry.router, entry.clock,
                                         JsonString(entry.fields, "reason"))];
  ++group.requests;
  ++group.by_account[JsonString(entry.fields, "account")];
  if (JsonString(entry.fields, "request") == request_) {
    request_lines_.push_back(std::move(entry));
  }
}

std::vector<const RequestHistory::Line*> RequestHistory::EventsBefore(
    const Line& request_line) const {
  std::vector<const Line*> before;
  for (const Line& line : router_events_) {
    if (line.router == request_line.router && line.time <= request_line.time &&
        line.time > request_line.time - kEventWindow) {
      before.push_back(&line);
    }
  }
  std::stable_sort(
      before.begin(), before.end(),
      [](const Line* a, const Line* b) { return a->time < b->time; });
  if (before.size() > kMaxEventsShown) {
    before.erase(before.begin(), before.end() - kMaxEventsShown);
  }
  return before;
}

const RequestHistory::OutcomeGroup* RequestHistory::FindGroup(
    const Line& request_line) const {
  const auto found =
      groups_.find(GroupKey(request_line.router, request_line.clock,
                            JsonString(request_line.fields, "reason")));
  return found == groups_.end() ? nullptr : &found->second;
}

std::string RequestHistory::Describe(const Line& request_line) const {
  const std::string reason = JsonString(request_line.fields, "reason");
  std::string text = absl::StrCat(request_line.clock, " ", request_line.router,
                                  ": ", DescribeReason(reason), "\n  ",
                                  JsonString(request_line.fields, "name"),
                                  FieldsText(request_line.fields), "\n");
  const OutcomeGroup* group = FindGroup(request_line);
  if (!reason.empty() && group != nullptr && group->requests > 1) {
    const auto top_account = std::max_element(
        group->by_account.begin(), group->by_account.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    absl::StrAppend(&text,
                    "  same reason, router and second: ", group->requests - 1,
                    " more logged");
    if (!top_account->first.empty()) {
      absl::StrAppend(&text, ", most of account ", top_account->first);
    }
    text += "\n";
  }
  const std::vector<const Line*> before = EventsBefore(request_line);
  if (!before.empty()) {
    text += "  events of this router in the 10 s before:\n";
  }
  for (const Line* line : before) {
    absl::StrAppend(&text, "    ", line->clock, " ",
                    JsonString(line->fields, "name"), FieldsText(line->fields),
                    "\n");
  }
  return text;
}

std::string RequestHistory::ToText() const {
  std::vector<const Line*> lines;
  for (const Line& line : request_lines_) {
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

json::object RequestHistory::ToJson() const {
  json::array lines;
  for (const Line& request_line : request_lines_) {
    json::array before;
    for (const Line* line : EventsBefore(request_line)) {
      before.push_back(line->fields);
    }
    lines.push_back(json::object{
        {"router", request_line.router},
        {"cause", DescribeReason(JsonString(request_line.fields, "reason"))},
        {"line", request_line.fields},
        {"before", std::move(before)},
    });
  }
  return json::object{{"request", request_}, {"lines", std::move(lines)}};
}

}  // namespace papaya
