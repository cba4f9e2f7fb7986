#include "include/gateway/quarantine_archive.h"

#include <algorithm>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/admission/prompt_quarantine.h"
#include "include/config/rendezvous.h"

namespace papaya {

namespace {

constexpr char kObjectName[] = "all";
constexpr char kListField[] = "quarantines";
constexpr char kPartField[] = "part";
constexpr char kSinceField[] = "since_ms";
constexpr char kCountField[] = "count";
constexpr int kHexBase = 16;

// Returns the number in `field` of `entry`, or -1.
int64_t NumberIn(const boost::json::object& entry, const char* field) {
  const boost::json::value* value = entry.if_contains(field);
  const int64_t* number = value == nullptr ? nullptr : value->if_int64();
  return number == nullptr ? -1 : *number;
}

std::optional<PartNews> DecodeEntry(const boost::json::value& value,
                                    WallTime now) {
  const boost::json::object* entry = value.if_object();
  const boost::json::value* name =
      entry == nullptr ? nullptr : entry->if_contains(kPartField);
  if (name == nullptr || !name->is_string()) {
    return std::nullopt;
  }
  const boost::json::string& text = name->get_string();
  uint64_t part = 0;
  const char* end = text.data() + text.size();
  const int64_t since = NumberIn(*entry, kSinceField);
  const int64_t count = NumberIn(*entry, kCountField);
  if (std::from_chars(text.data(), end, part, kHexBase).ptr != end ||
      since < 0 || count < 1) {
    return std::nullopt;
  }
  PartNews news;
  news.part = PromptPartId(part);
  const int64_t now_ms = now.time_since_epoch().count();
  const Duration longest = 2 * PromptQuarantine::kLongestQuarantine;
  const int64_t longest_ms = longest / std::chrono::milliseconds(1);
  news.quarantine_age = std::chrono::milliseconds(
      std::clamp<int64_t>(now_ms - since, 0, longest_ms));
  news.quarantines = static_cast<int>(std::min<int64_t>(count, 64));
  return news;
}

boost::json::value EncodeParts(const std::vector<PartNews>& parts,
                               WallTime now) {
  boost::json::array list;
  for (const PartNews& part : parts) {
    const int64_t age_ms = *part.quarantine_age / std::chrono::milliseconds(1);
    list.push_back(boost::json::object{
        {kPartField, absl::StrCat(absl::Hex(part.part.value()))},
        {kSinceField, now.time_since_epoch().count() - age_ms},
        {kCountField, part.quarantines}});
  }
  return boost::json::object{{kListField, std::move(list)}};
}

}  // namespace

QuarantineArchive::QuarantineArchive(const RouterId& self,
                                     PlatformStore* store,
                                     std::string kind,
                                     Hooks hooks)
    : self_(self),
      store_(store),
      kind_(std::move(kind)),
      hooks_(std::move(hooks)) {}

QuarantineArchive::~QuarantineArchive() = default;

void QuarantineArchive::OnBegun(PromptPartId part,
                                const std::vector<RouterId>& routers) {
  const std::vector<RouterId> writers = PickByRendezvous(
      absl::StrCat("quarantine ", part.value()), routers, kWriters);
  if (std::find(writers.begin(), writers.end(), self_) != writers.end()) {
    is_write_due_ = true;
    failures_ = 0;
  }
}

void QuarantineArchive::OnStoreRestored(const std::vector<RouterId>& routers) {
  for (const PartNews& part : hooks_.current()) {
    OnBegun(part.part, routers);
  }
}

void QuarantineArchive::OnTick(TimePoint now) {
  if (has_read_ && is_second_due_ && now >= second_read_) {
    is_second_due_ = false;
    has_read_ = hooks_.is_fed();
  }
  if (is_busy_ || now < next_try_ || (has_read_ && !is_write_due_)) {
    return;
  }
  next_try_ = now + kRetryInterval;
  const bool is_first = second_read_ == TimePoint() && hooks_.is_fed;
  if (is_first) {
    second_read_ = now + kSecondReadDelay;
    is_second_due_ = true;
  }
  // A write needs the present version of the object.
  Read(/*is_stale=*/is_first && !is_write_due_);
}

void QuarantineArchive::Read(bool is_stale) {
  is_busy_ = true;
  const auto done = [this, alive = std::weak_ptr<bool>(is_alive_)](
                        const absl::StatusOr<ObjectBatch>& batch) {
    if (!alive.expired()) {
      OnRead(batch);
    }
  };
  if (is_stale) {
    store_->ListStale(kind_, "", done);
  } else {
    store_->List(kind_, "", done);
  }
}

QuarantineArchive::Stored QuarantineArchive::Find(
    const ObjectBatch& batch) const {
  Stored stored;
  for (const PlatformObject& object : batch.objects) {
    if (object.name != kObjectName) {
      continue;
    }
    stored.object = object;
    const boost::json::object* status = object.status.if_object();
    const boost::json::value* list =
        status == nullptr ? nullptr : status->if_contains(kListField);
    if (list == nullptr || !list->is_array()) {
      continue;
    }
    for (const boost::json::value& value : list->get_array()) {
      std::optional<PartNews> part = DecodeEntry(value, hooks_.wall_time());
      if (part.has_value() &&
          stored.parts.size() < PromptQuarantine::kMaxQuarantined) {
        stored.parts.push_back(*std::move(part));
      }
    }
  }
  return stored;
}

void QuarantineArchive::OnRead(const absl::StatusOr<ObjectBatch>& batch) {
  // A kind without objects may be unknown to the store.
  if (!batch.ok() && !absl::IsNotFound(batch.status())) {
    Finish(batch.status());
    return;
  }
  const Stored stored = batch.ok() ? Find(*batch) : Stored();
  if (!has_read_) {
    has_read_ = true;
    if (!stored.parts.empty()) {
      hooks_.restore({.parts = stored.parts});
    }
  }
  if (!is_write_due_) {
    is_busy_ = false;
    return;
  }
  Write(stored);
}

void QuarantineArchive::Write(const Stored& stored) {
  const std::vector<PartNews> current = hooks_.current();
  const bool is_stored = std::all_of(
      current.begin(), current.end(), [&stored](const PartNews& part) {
        return std::any_of(stored.parts.begin(), stored.parts.end(),
                           [&part](const PartNews& other) {
                             return other.part == part.part &&
                                    other.quarantines >= part.quarantines;
                           });
      });
  if (is_stored) {
    Finish(absl::OkStatus());
    return;
  }
  if (stored.object.version != ObjectVersion()) {
    Put(stored.object, current);
    return;
  }
  PlatformObject object;
  object.name = kObjectName;
  object.spec = boost::json::object();
  object.status = boost::json::object();
  std::weak_ptr<bool> alive = is_alive_;
  store_->Create(
      kind_, object,
      [this, alive, current](const absl::StatusOr<PlatformObject>& created) {
        if (alive.expired()) {
          return;
        }
        if (created.ok()) {
          Put(*created, current);
        } else {
          Finish(created.status());
        }
      });
}

void QuarantineArchive::Put(const PlatformObject& object,
                            const std::vector<PartNews>& parts) {
  PlatformObject changed;
  changed.name = kObjectName;
  changed.version = object.version;
  changed.status = EncodeParts(parts, hooks_.wall_time());
  std::weak_ptr<bool> alive = is_alive_;
  store_->PutStatus(
      kind_, changed,
      [this, alive](const absl::StatusOr<PlatformObject>& written) {
        if (!alive.expired()) {
          Finish(written.status());
        }
      });
}

void QuarantineArchive::Finish(const absl::Status& status) {
  is_busy_ = false;
  if (status.ok()) {
    is_write_due_ = false;
    return;
  }
  ++failures_;
  // Another writer was faster; what it wrote is read and compared again.
  const bool is_conflict =
      absl::IsAborted(status) || absl::IsAlreadyExists(status);
  if (!is_conflict) {
    hooks_.event(
        {EventId::kArchiveFailed, {{"error", std::string(status.message())}}});
  }
  if (has_read_ && failures_ >= kMaxFailures) {
    is_write_due_ = false;
  }
}

}  // namespace papaya
