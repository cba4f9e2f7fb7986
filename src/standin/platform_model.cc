#include "include/standin/platform_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"

namespace papaya {

namespace {

absl::Status PlatformError(absl::StatusCode code,
                           const char* step,
                           const std::string& message) {
  return MakeError(code, {.step = step, .peer = "platform"}, message);
}

}  // namespace

bool PlatformModel::TokenBucket::TryConsume(TimePoint now) {
  const double gained = ToSeconds(now - last_refill) * per_second;
  level = std::min(per_second, level + gained);
  last_refill = now;
  if (level < 1.0) {
    return false;
  }
  level -= 1.0;
  return true;
}

PlatformModel::PlatformModel(const PlatformOptions& options)
    : options_(options),
      read_bucket_{options.reads_per_second, options.reads_per_second, {}},
      write_bucket_{options.writes_per_second, options.writes_per_second, {}},
      vms_(std::vector<ListedVm>()) {}

absl::Status PlatformModel::ConsumeRead(TimePoint now) {
  if (!read_bucket_.TryConsume(now)) {
    return PlatformError(absl::StatusCode::kResourceExhausted, "platform.read",
                         "above the rate limit of reads");
  }
  ++reads_;
  return absl::OkStatus();
}

absl::StatusOr<StoredObject> PlatformModel::Get(const std::string& key,
                                                TimePoint now) {
  const absl::Status counted = ConsumeRead(now);
  if (!counted.ok()) {
    return counted;
  }
  const auto object = objects_.find(key);
  if (object == objects_.end()) {
    return PlatformError(absl::StatusCode::kNotFound, "platform.get", key);
  }
  return object->second;
}

absl::StatusOr<std::vector<StoredObject>> PlatformModel::List(
    const std::string& prefix,
    TimePoint now) {
  const absl::Status counted = ConsumeRead(now);
  if (!counted.ok()) {
    return counted;
  }
  std::vector<StoredObject> found;
  for (auto object = objects_.lower_bound(prefix);
       object != objects_.end() && object->first.starts_with(prefix);
       ++object) {
    found.push_back(object->second);
  }
  return found;
}

absl::StatusOr<ObjectVersion> PlatformModel::Put(
    const ConditionalWrite& write,
    TimePoint now,
    ObjectVersion* current_version) {
  if (!write_bucket_.TryConsume(now)) {
    return PlatformError(absl::StatusCode::kResourceExhausted, "platform.put",
                         "above the rate limit of writes");
  }
  ++writes_;
  const Bytes length(write.value ? static_cast<int64_t>(write.value->size())
                                 : 0);
  if (length > options_.max_value_bytes) {
    return PlatformError(absl::StatusCode::kInvalidArgument, "platform.put",
                         "the value exceeds the size limit");
  }
  const auto object = objects_.find(write.key);
  const ObjectVersion current =
      object == objects_.end() ? ObjectVersion() : object->second.version;
  if (current_version != nullptr) {
    *current_version = current;
  }
  if (current != write.expected) {
    return PlatformError(
        absl::StatusCode::kAborted, "platform.put",
        absl::StrCat("the current version is ", current.value()));
  }
  last_version_ = last_version_.Next();
  if (!write.value) {
    objects_.erase(write.key);
    return last_version_;
  }
  StoredObject& stored = objects_[write.key];
  stored = {.key = write.key,
            .version = last_version_,
            .operation = write.operation,
            .value = *write.value};
  NotifyWatches(StoredObject(stored));
  return last_version_;
}

absl::Status PlatformModel::Watch(const std::string& key,
                                  ObjectVersion after,
                                  TimePoint now,
                                  WatchCallback done) {
  absl::Status counted = ConsumeRead(now);
  if (!counted.ok()) {
    return counted;
  }
  const auto object = objects_.find(key);
  if (object != objects_.end() && object->second.version > after) {
    done(object->second);
    return absl::OkStatus();
  }
  watches_.push_back({.key = key,
                      .after = after,
                      .due = now + options_.max_watch,
                      .done = std::move(done)});
  return absl::OkStatus();
}

void PlatformModel::NotifyWatches(const StoredObject& object) {
  std::vector<WatchCallback> callbacks;
  std::erase_if(watches_, [&object, &callbacks](PendingWatch& watch) {
    const bool wakes = watch.key == object.key && object.version > watch.after;
    if (wakes) {
      callbacks.push_back(std::move(watch.done));
    }
    return wakes;
  });
  for (const WatchCallback& done : callbacks) {
    done(object);
  }
}

void PlatformModel::Advance(TimePoint now) {
  while (!watches_.empty() && watches_.front().due <= now) {
    const WatchCallback done = std::move(watches_.front().done);
    watches_.pop_front();
    done(std::nullopt);
  }
}

std::optional<TimePoint> PlatformModel::NextDue() const {
  if (watches_.empty()) {
    return std::nullopt;
  }
  return watches_.front().due;
}

void PlatformModel::SetVm(const ListedVm& vm, TimePoint now) {
  std::vector<ListedVm> vms = vms_.Latest();
  std::erase_if(vms,
                [&vm](const ListedVm& other) { return other.id == vm.id; });
  vms.push_back(vm);
  vms_.Set(now, std::move(vms));
}

void PlatformModel::RemoveVm(const VmId& vm, TimePoint now) {
  std::vector<ListedVm> vms = vms_.Latest();
  std::erase_if(vms, [&vm](const ListedVm& other) { return other.id == vm; });
  vms_.Set(now, std::move(vms));
}

absl::StatusOr<std::vector<ListedVm>> PlatformModel::ListVms(TimePoint now,
                                                             Duration lag) {
  const absl::Status counted = ConsumeRead(now);
  if (!counted.ok()) {
    return counted;
  }
  return vms_.Get(now, lag);
}

}  // namespace papaya
