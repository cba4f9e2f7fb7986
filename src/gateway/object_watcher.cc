#include "include/gateway/object_watcher.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
namespace papaya {

ObjectWatcher::ObjectWatcher(PlatformStore* store, Options options, Hooks hooks)
    : store_(store), options_(std::move(options)), hooks_(std::move(hooks)) {}

ObjectWatcher::~ObjectWatcher() = default;

void ObjectWatcher::OnTick(TimePoint now) {
  now_ = now;
  if (is_calling_ || now < next_call_) {
    return;
  }
  is_calling_ = true;
  call_start_ = now;
  if (must_list_) {
    List();
  } else {
    Watch();
  }
}

PlatformStore::BatchCallback ObjectWatcher::WrapCallback(
    void (ObjectWatcher::*handle)(absl::StatusOr<ObjectBatch>, TimePoint)) {
  return [this, handle, alive = std::weak_ptr<bool>(alive_)](
             absl::StatusOr<ObjectBatch> batch) {
    if (alive.expired()) {
      return;
    }
    is_calling_ = false;
    now_ = hooks_.now();
    (this->*handle)(std::move(batch), now_);
    OnTick(now_);
  };
}

void ObjectWatcher::List() {
  const std::string after = pages_.empty() ? "" : pages_.back().name;
  store_->List(options_.kind, after, WrapCallback(&ObjectWatcher::OnList));
}

void ObjectWatcher::Watch() {
  store_->Watch(options_.kind, version_,
                is_unavailable_ ? options_.probe_wait : options_.wait,
                WrapCallback(&ObjectWatcher::OnWatch));
}

void ObjectWatcher::OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now) {
  if (!batch.ok()) {
    pages_.clear();
    OnFailure(batch.status(), now);
    return;
  }
  OnSuccess(now);
  // The watch starts at the version of the first page so that it covers changes
  // made while the pages were read.
  if (pages_.empty()) {
    version_ = batch->store_version;
  }
  std::move(batch->objects.begin(), batch->objects.end(),
            std::back_inserter(pages_));
  if (batch->has_more && !batch->objects.empty()) {
    return;
  }
  must_list_ = false;
  is_listed_ = true;
  const std::vector<PlatformObject> objects = std::exchange(pages_, {});
  hooks_.replaced(objects);
}

void ObjectWatcher::OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now) {
  if (absl::IsOutOfRange(batch.status())) {
    must_list_ = true;
    OnSuccess(now);
    return;
  }
  if (!batch.ok()) {
    OnFailure(batch.status(), now);
    return;
  }
  OnSuccess(now);
  for (const PlatformObject& object : batch->objects) {
    hooks_.changed(object);
  }
  version_ = std::max(version_, batch->store_version);
  if (!batch->objects.empty()) {
    next_call_ = now + options_.coalesce_delay;
  }
}

void ObjectWatcher::OnFailure(const absl::Status& status, TimePoint now) {
  if (!is_unavailable_) {
    is_unavailable_ = true;
    unavailable_since_ = absl::IsDeadlineExceeded(status) ? call_start_ : now;
    hooks_.event(
        {EventId::kStoreLost,
         {{"kind", options_.kind}, {"error", std::string(status.message())}}});
  }
  backoff_ =
      std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
  next_call_ = now + backoff_;
}

void ObjectWatcher::OnSuccess(TimePoint now) {
  backoff_ = Duration();
  next_call_ = now;
  last_response_ = now;
  if (!is_unavailable_) {
    return;
  }
  is_unavailable_ = false;
  const Duration outage = now - unavailable_since_;
  hooks_.event(
      {EventId::kStoreRegained,
       {{"kind", options_.kind},
        {"outage_ms", std::to_string(outage / std::chrono::milliseconds(1))}}});
  if (outage >= options_.outage_threshold) {
    hooks_.store_recovered();
  }
}

}  // namespace papaya
