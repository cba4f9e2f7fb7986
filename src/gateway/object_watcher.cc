#include "include/gateway/object_watcher.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "src/gateway/object_text.h"

namespace papaya {

namespace {

// Changes with a longer text are not passed on. Routers that are fed read them
// from the store, whose network link is faster than that of a router.
constexpr size_t kMaxFeedBytes = size_t{8} * 1024;
// Ends of an outage are reported to fed routers for this long, and those that
// differ by less than the second duration are the same.
constexpr Duration kRecoveryReportTime = std::chrono::seconds(5);
constexpr Duration kSameRecovery = std::chrono::seconds(1);
// A router that has heard from its feed within this time will hear from it
// when the store is available again.
constexpr Duration kFeedSilence = std::chrono::seconds(1);

}  // namespace

ObjectWatcher::ObjectWatcher(PlatformStore* store, Options options, Hooks hooks)
    : store_(store), options_(std::move(options)), hooks_(std::move(hooks)) {}

ObjectWatcher::~ObjectWatcher() = default;

void ObjectWatcher::OnTick(TimePoint now) {
  now_ = now;
  if (is_calling_ || now < next_call_ || IsFed(now)) {
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
  watched_version_ = version_;
  Duration wait = is_feeding_ ? options_.feeding_wait : options_.wait;
  if (is_unavailable_) {
    wait = options_.probe_wait;
  }
  store_->Watch(options_.kind, version_, wait,
                WrapCallback(&ObjectWatcher::OnWatch));
}

void ObjectWatcher::OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now) {
  if (!batch.ok()) {
    pages_.clear();
    OnFailure(batch.status(), now);
    return;
  }
  OnSuccess(now);
  LogUnreadable(*batch);
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
  if (!is_listed_) {
    next_call_ = now + options_.first_watch_delay;
  }
  must_list_ = false;
  is_listed_ = true;
  unchanged_since_ = version_;
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
  LogUnreadable(*batch);
  const ObjectVersion to = std::max(watched_version_, batch->store_version);
  const bool is_first_to_know = version_ == watched_version_;
  if (!Merge(watched_version_, to, batch->objects)) {
    return;
  }
  if (version_ >= gap_feed_version_) {
    fed_until_ = std::max(fed_until_, gap_feed_until_);
  }
  if (batch->objects.empty()) {
    return;
  }
  next_call_ = now + options_.coalesce_delay;
  if (is_first_to_know) {
    PassOn(batch->objects, now);
  }
}

void ObjectWatcher::PassOn(const std::vector<PlatformObject>& changes,
                           TimePoint now) {
  KindFeed feed = MakeFeed(now);
  std::string text = FormatObjects(changes);
  if (text.size() <= kMaxFeedBytes) {
    feed.from = watched_version_;
    feed.changes = std::move(text);
  }
  hooks_.read(feed);
}

bool ObjectWatcher::Merge(ObjectVersion from,
                          ObjectVersion to,
                          const std::vector<PlatformObject>& changes) {
  if (to <= version_) {
    return true;
  }
  if (from > version_) {
    return false;
  }
  const ObjectVersion known = version_;
  const bool has_overlap = from < known;
  // A deletion may carry the version of the last change before it.
  const bool is_unclear =
      has_overlap && std::any_of(changes.begin(), changes.end(),
                                 [known](const PlatformObject& object) {
                                   return object.version <= known &&
                                          (object.is_deleted ||
                                           object.version == ObjectVersion());
                                 });
  if (is_unclear) {
    return false;
  }
  version_ = to;
  if (!changes.empty()) {
    unchanged_since_ = to;
  }
  for (const PlatformObject& object : changes) {
    if (!has_overlap || object.version > known) {
      hooks_.changed(object);
    }
  }
  return true;
}

KindFeed ObjectWatcher::MakeFeed(TimePoint now) const {
  KindFeed feed;
  feed.kind = options_.kind;
  feed.from = unchanged_since_;
  feed.to = version_;
  feed.age = now - last_response_;
  if (last_recovery_.has_value() &&
      now - *last_recovery_ < kRecoveryReportTime) {
    feed.recovery_age = now - *last_recovery_;
  }
  return feed;
}

void ObjectWatcher::OnFeed(const KindFeed& feed, TimePoint now) {
  if (!is_listed_ || must_list_) {
    return;
  }
  now_ = now;
  last_feed_ = now;
  const TimePoint confirmed = now - feed.age;
  if (feed.to < version_ || confirmed + options_.max_feed_age <= now) {
    return;
  }
  if (feed.recovery_age.has_value()) {
    OnRecovered(now - *feed.recovery_age);
  }
  const std::optional<std::vector<PlatformObject>> changes =
      ParseObjects(feed.changes);
  if (!changes.has_value() || !Merge(feed.from, feed.to, *changes)) {
    // The store has changes that this router lacks.
    fed_until_ = TimePoint();
    gap_feed_version_ = feed.to;
    gap_feed_until_ = confirmed + options_.max_feed_age;
    if (!is_unavailable_) {
      next_call_ = now;
    }
    return;
  }
  fed_until_ = std::max(fed_until_, confirmed + options_.max_feed_age);
  last_response_ = std::max(last_response_, confirmed);
  // An outage that only this router has seen does not make registrations
  // expire.
  unavailable_since_ = now;
}

void ObjectWatcher::OnRecovered(TimePoint time) {
  if (last_recovery_.has_value() && time < *last_recovery_ + kSameRecovery) {
    return;
  }
  last_recovery_ = time;
  hooks_.store_recovered();
}

void ObjectWatcher::LogUnreadable(const ObjectBatch& batch) {
  if (batch.unreadable > 0) {
    hooks_.event({EventId::kEntryRefused,
                  {{"entry", options_.kind + " without a readable name"},
                   {"count", std::to_string(batch.unreadable)}}});
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
  const bool hears_feed = now - last_feed_ < kFeedSilence;
  backoff_ =
      std::clamp(backoff_ * 2, options_.min_backoff,
                 hears_feed ? options_.max_fed_backoff : options_.max_backoff);
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
    OnRecovered(now);
  }
}

}  // namespace papaya
