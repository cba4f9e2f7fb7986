#include "include/gateway/object_watcher.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "include/gateway/store_era.h"
#include "src/gateway/object_text.h"

namespace papaya {

namespace {

// Changes with a longer text are compressed before they are passed on. Below
// that, compression saves less time on the link than it costs in processing.
constexpr size_t kMaxPlainBytes = size_t{2} * 1024;
// Changes that are longer even so are not passed on, and routers that are fed
// read them from the store. Two sources pass on changes of this size to 30
// followers in 1.6 s, at the pace of StoreFeed.
constexpr size_t kMaxFeedBytes = size_t{64} * 1024;
// Ends of an outage are reported to fed routers for this long, and those that
// differ by less than the second duration are the same.
constexpr Duration kRecoveryReportTime = std::chrono::seconds(5);
constexpr Duration kSameRecovery = std::chrono::seconds(1);
// A router that has heard from its feed within this time will hear from it
// when the store is available again.
constexpr Duration kFeedSilence = std::chrono::seconds(1);
// A watch that has not returned a version for so long after another router knew
// it has lost its response. Longer than a slow router takes to handle one.
constexpr Duration kLostResponseTime = std::chrono::milliseconds(300);
// The response to a watch may take this multiple of the time that the last one
// took, within kMaxUsualLimit.
constexpr int kResponseDelayFactor = 4;
constexpr Duration kMaxUsualLimit = std::chrono::milliseconds(800);
// The same beyond kMaxUsualLimit.
constexpr int kSlowDelayFactor = 2;
// After an outage, the feed covers all kinds again within this time.
constexpr Duration kFeedAfterRecovery = std::chrono::seconds(1);
// A router whose lead watcher has succeeded within this time may use the store
// for all kinds. It covers the usual wait of a watch.
constexpr Duration kLeadSuccessTime = std::chrono::seconds(3);

// Maximum backoff while changes are missing that other routers do not have.
constexpr Duration kMaxBehindBackoff = std::chrono::seconds(2);

std::optional<std::vector<PlatformObject>> ReadChanges(const KindFeed& feed) {
  if (!feed.is_packed) {
    return ParseObjects(feed.changes);
  }
  const std::optional<std::string> text = UnpackText(feed.changes);
  return text.has_value() ? ParseObjects(*text) : std::nullopt;
}

}  // namespace

ObjectWatcher::ObjectWatcher(PlatformStore* store, Options options, Hooks hooks)
    : store_(store), options_(std::move(options)), hooks_(std::move(hooks)) {}

ObjectWatcher::~ObjectWatcher() = default;

void ObjectWatcher::OnTick(TimePoint now) {
  now_ = now;
  AbandonLostWatch(now);
  if (is_calling_ || now < next_call_ || !MayCall(now)) {
    return;
  }
  is_calling_ = true;
  is_watching_ = !must_list_;
  ++call_;
  call_start_ = now;
  if (must_list_) {
    List();
  } else {
    Watch();
  }
}

bool ObjectWatcher::HearsFeed(TimePoint now) const {
  return now - last_feed_ < kFeedSilence;
}

bool ObjectWatcher::MayCall(TimePoint now) const {
  if (IsHeldBack(now)) {
    return false;
  }
  if (must_list_ || is_reading_ || behind_since_.has_value()) {
    return true;
  }
  if (now < fed_until_) {
    return false;
  }
  return !is_listed_ || !HearsFeed(now) ||
         now >= fed_until_ + options_.stale_feed_patience;
}

bool ObjectWatcher::IsHeldBack(TimePoint now) const {
  // A lead that is fed does not call the store, whatever it last found there.
  if (lead_ == nullptr || lead_ == this || !is_listed_) {
    return false;
  }
  if (!is_reading_ && HearsFeed(now) && lead_->last_recovery_.has_value() &&
      now - *lead_->last_recovery_ < kFeedAfterRecovery) {
    return true;
  }
  if (lead_->IsFed(now) || !HearsFeed(now)) {
    return lead_->is_unavailable_ && !lead_->IsFed(now);
  }
  if (lead_->is_unavailable_) {
    return true;
  }
  const bool needs_lead = is_unavailable_ || (!is_reading_ && IsStale(now));
  return needs_lead && (!lead_->last_success_.has_value() ||
                        now - *lead_->last_success_ >= kLeadSuccessTime);
}

void ObjectWatcher::SetAlone(bool is_alone) {
  is_alone_ = is_alone;
  if (is_alone && old_list_.has_value() && !is_unavailable_) {
    next_call_ = now_;
  }
}

Duration ObjectWatcher::CoalesceDelay(TimePoint now) const {
  if (is_feeding_) {
    return options_.feeding_coalesce_delay;
  }
  const bool is_settling = options_.starts_stale && !is_alone_ &&
                           !is_reading_ &&
                           now - listed_at_ < options_.settling_time;
  return is_settling ? options_.settling_coalesce_delay
                     : options_.coalesce_delay;
}

void ObjectWatcher::SetReading(bool is_reading) {
  if (is_reading && !is_reading_) {
    next_call_ = now_;
  }
  is_reading_ = is_reading;
}

void ObjectWatcher::OnPeerVersion(ObjectVersion version, TimePoint now) {
  if (version <= version_) {
    return;
  }
  peer_version_ = std::max(peer_version_, version);
  peer_ahead_since_ = peer_ahead_since_.value_or(now);
}

bool ObjectWatcher::MayGiveUp() const {
  // If the watch on a new connection gets no response either, the store is
  // unavailable, which its timeout tells.
  return is_calling_ && is_watching_ && !is_unavailable_ &&
         !given_up_since_.has_value();
}

Duration ObjectWatcher::ResponseLimit() const {
  const Duration usual = std::clamp(kResponseDelayFactor * response_delay_,
                                    options_.response_limit, kMaxUsualLimit);
  return std::clamp(kSlowDelayFactor * response_delay_, usual,
                    kStoreCallTimeout);
}

void ObjectWatcher::GiveUpWatch(TimePoint now) {
  is_calling_ = false;
  next_call_ = now;
  store_->Reconnect();
  if (given_up_since_.has_value()) {
    return;
  }
  given_up_since_ = call_start_;
  hooks_.event({EventId::kStoreSilent,
                {{"kind", options_.kind},
                 {"after_ms", std::to_string((now - call_start_) /
                                             std::chrono::milliseconds(1))}}});
}

void ObjectWatcher::OnStoreSilent(TimePoint now) {
  if (MayGiveUp()) {
    GiveUpWatch(now);
  }
}

void ObjectWatcher::AbandonLostWatch(TimePoint now) {
  if (MayGiveUp() && now - call_start_ > watch_wait_ + ResponseLimit()) {
    GiveUpWatch(now);
    return;
  }
  if (!peer_ahead_since_.has_value()) {
    return;
  }
  if (peer_version_ <= version_ || !is_calling_ || !is_watching_) {
    peer_ahead_since_.reset();
    return;
  }
  if (now - std::max(*peer_ahead_since_, call_start_) < kLostResponseTime) {
    return;
  }
  peer_ahead_since_.reset();
  GiveUpWatch(now);
}

void ObjectWatcher::OnStoreAlive(TimePoint sent) {
  if (is_calling_ && is_watching_ && !is_unavailable_ && is_listed_ &&
      call_start_ <= sent) {
    last_response_ = std::max(last_response_, sent);
    own_response_ = std::max(own_response_, sent);
  }
}

PlatformStore::BatchCallback ObjectWatcher::WrapCallback(
    void (ObjectWatcher::*handle)(absl::StatusOr<ObjectBatch>, TimePoint)) {
  return [this, handle, call = call_, alive = std::weak_ptr<bool>(alive_)](
             absl::StatusOr<ObjectBatch> batch) {
    if (alive.expired() || call != call_) {
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
  if (options_.starts_stale && !is_listed_) {
    store_->ListStale(options_.kind, after,
                      WrapCallback(&ObjectWatcher::OnList));
    return;
  }
  store_->List(options_.kind, after, WrapCallback(&ObjectWatcher::OnList));
}

void ObjectWatcher::Watch() {
  watched_version_ = version_;
  Duration wait = options_.wait;
  if (is_feeding_) {
    wait = is_reading_ ? options_.reading_wait : options_.feeding_wait;
  }
  // While the state of the store is not known, a short wait tells it.
  const bool must_probe =
      is_unavailable_ || given_up_since_.has_value() || old_list_.has_value() ||
      (IsStale(now_) && (is_feeding_ || is_reading_ || HearsFeed(now_)));
  if (must_probe) {
    wait = options_.probe_wait;
  }
  watch_wait_ = wait;
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
  if (!pages_.empty() && EraOf(batch->store_version) != EraOf(version_)) {
    // The pages are of different copies of the store.
    pages_.clear();
    next_call_ = now;
    return;
  }
  // The watch starts at the version of the first page so that it covers changes
  // made while the pages were read.
  // Pages of an old list may differ in age, and the oldest one counts.
  if (pages_.empty()) {
    version_ = batch->store_version;
  } else if (options_.starts_stale && !is_listed_) {
    version_ = std::min(version_, batch->store_version);
  }
  std::move(batch->objects.begin(), batch->objects.end(),
            std::back_inserter(pages_));
  if (batch->has_more && !batch->objects.empty()) {
    return;
  }
  must_list_ = false;
  unchanged_since_ = version_;
  history_.Clear();
  behind_since_.reset();
  std::vector<PlatformObject> objects = std::exchange(pages_, {});
  if (options_.starts_stale && !is_listed_) {
    old_list_ = std::move(objects);
    if (!is_reading_ && !is_alone_) {
      next_call_ = now + options_.completion_delay;
    }
    if (hooks_.behind) {
      hooks_.behind();
    }
    return;
  }
  if (!is_listed_) {
    next_call_ = now + options_.first_watch_delay;
  }
  NoteEra(version_);
  is_listed_ = true;
  KeepList(objects, now);
  hooks_.replaced(objects);
}

void ObjectWatcher::NoteEra(ObjectVersion version) {
  const StoreEra era = EraOf(version);
  const bool is_restored = is_listed_ && era != listed_era_;
  listed_era_ = era;
  if (is_restored && hooks_.store_restored) {
    hooks_.store_restored();
  }
}

void ObjectWatcher::KeepList(const std::vector<PlatformObject>& objects,
                             TimePoint now) {
  history_.Clear();
  if (!is_reading_) {
    return;
  }
  KindFeed feed = MakeFeed(now);
  feed.from = ObjectVersion();
  feed.is_packed = true;
  feed.changes = PackText(FormatObjects(objects));
  if (feed.changes.size() <= kMaxFeedBytes) {
    history_.Add(feed, feed.from, now);
    hooks_.read(feed);
  }
}

void ObjectWatcher::OnWholeList(const KindFeed& feed,
                                const std::vector<PlatformObject>& objects,
                                TimePoint now) {
  NoteEra(feed.to);
  version_ = feed.to;
  unchanged_since_ = feed.to;
  old_list_.reset();
  if (!is_listed_) {
    listed_at_ = now;
  }
  is_listed_ = true;
  history_.Clear();
  history_.Add(feed, feed.from, now);
  hooks_.replaced(objects);
}

void ObjectWatcher::Complete(const std::vector<PlatformObject>& changes) {
  std::vector<PlatformObject> objects = *std::exchange(old_list_, {});
  for (const PlatformObject& change : changes) {
    const auto known = std::find_if(objects.begin(), objects.end(),
                                    [&change](const PlatformObject& object) {
                                      return object.name == change.name;
                                    });
    if (known == objects.end()) {
      if (!change.is_deleted) {
        objects.push_back(change);
      }
    } else if (change.is_deleted) {
      objects.erase(known);
    } else if (change.version >= known->version) {
      *known = change;
    }
  }
  NoteEra(version_);
  is_listed_ = true;
  listed_at_ = now_;
  if (!is_reading_) {
    next_call_ = std::max(next_call_, now_ + options_.first_watch_delay);
  }
  KeepList(objects, now_);
  hooks_.replaced(objects);
}

void ObjectWatcher::OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now) {
  if (absl::IsOutOfRange(batch.status())) {
    must_list_ = true;
    old_list_.reset();
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
  const bool was_listed = is_listed_;
  const ObjectVersion unchanged_since = unchanged_since_;
  if (!Merge(watched_version_, to, batch->objects)) {
    return;
  }
  if (version_ >= gap_feed_version_) {
    fed_until_ = std::max(fed_until_, gap_feed_until_);
    behind_since_.reset();
  }
  if (batch->objects.empty()) {
    response_delay_ = std::max(Duration(), now - call_start_ - watch_wait_);
    return;
  }
  next_call_ = std::max(next_call_, now + CoalesceDelay(now));
  if (is_first_to_know && was_listed) {
    PassOn(batch->objects, unchanged_since, now);
  }
}

void ObjectWatcher::PassOn(const std::vector<PlatformObject>& changes,
                           ObjectVersion unchanged_since,
                           TimePoint now) {
  KindFeed feed = MakeFeed(now);
  std::string text = FormatObjects(changes);
  feed.is_packed = text.size() > kMaxPlainBytes;
  if (feed.is_packed) {
    text = PackText(text);
  }
  if (text.size() <= kMaxFeedBytes) {
    feed.from = watched_version_;
    feed.changes = std::move(text);
    history_.Add(feed, unchanged_since, now);
  } else {
    feed.is_packed = false;
    history_.Clear();
  }
  hooks_.read(feed);
}

bool ObjectWatcher::Merge(ObjectVersion from,
                          ObjectVersion to,
                          const std::vector<PlatformObject>& changes) {
  if (from > version_) {
    return false;
  }
  if (old_list_.has_value()) {
    version_ = std::max(version_, to);
    unchanged_since_ = version_;
    Complete(changes);
    return true;
  }
  if (to <= version_) {
    return true;
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

FeedRequest::KindVersion ObjectWatcher::MakeVersion() const {
  return {.kind = options_.kind,
          .version = version_,
          .is_behind = behind_since_.has_value() || old_list_.has_value()};
}

KindFeed ObjectWatcher::MakeFeed(TimePoint now) const {
  KindFeed feed;
  feed.kind = options_.kind;
  feed.from = unchanged_since_;
  feed.to = version_;
  // Others must not take a reader that has lost the store for one that reads,
  // even if it is fed itself.
  feed.age = now - (is_reading_ ? own_response_ : last_response_);
  if (last_recovery_.has_value() &&
      now - *last_recovery_ < kRecoveryReportTime) {
    feed.recovery_age = now - *last_recovery_;
  }
  return feed;
}

void ObjectWatcher::OnFeed(const KindFeed& feed, TimePoint now) {
  if (must_list_) {
    return;
  }
  now_ = now;
  last_feed_ = now;
  const TimePoint confirmed = now - feed.age;
  // Changes that were asked for may be old, and only do not show that there are
  // no later ones.
  const bool is_recent = confirmed + options_.max_feed_age > now;
  if (feed.to < version_ || (!is_recent && feed.changes.empty())) {
    return;
  }
  if (feed.recovery_age.has_value()) {
    OnRecovered(now - *feed.recovery_age);
  }
  // Changes that are known here come a second time from the other source.
  const bool is_news = feed.to > version_ || old_list_.has_value();
  const ObjectVersion unchanged_since = unchanged_since_;
  const bool was_listed = is_listed_;
  const std::optional<std::vector<PlatformObject>> changes =
      is_news ? ReadChanges(feed) : std::vector<PlatformObject>();
  const bool is_whole =
      is_news && feed.from == ObjectVersion() && !feed.changes.empty();
  if (is_whole && changes.has_value()) {
    OnWholeList(feed, *changes, now);
  } else if (!changes.has_value() || !Merge(feed.from, feed.to, *changes)) {
    if (is_recent) {
      OnGap(feed, now);
    }
    return;
  }
  if (is_whole) {
    hooks_.read(feed);
  } else if (is_news && was_listed && !changes->empty()) {
    history_.Add(feed, unchanged_since, now);
    KindFeed passed_on = feed;
    passed_on.recovery_age = MakeFeed(now).recovery_age;
    hooks_.read(passed_on);
  }
  if (version_ >= gap_feed_version_) {
    behind_since_.reset();
  }
  fed_until_ = std::max(fed_until_, confirmed + options_.max_feed_age);
  last_response_ = std::max(last_response_, confirmed);
  // An outage that only this router has seen does not make registrations
  // expire.
  unavailable_since_ = now;
}

void ObjectWatcher::OnGap(const KindFeed& feed, TimePoint now) {
  fed_until_ = TimePoint();
  gap_feed_version_ = std::max(gap_feed_version_, feed.to);
  gap_feed_until_ = now - feed.age + options_.max_feed_age;
  if (behind_since_.has_value()) {
    return;
  }
  behind_since_ = now;
  const TimePoint read_at = now + options_.gap_patience;
  if (is_unavailable_) {
    next_call_ = std::min(next_call_,
                          std::max(read_at, call_start_ + kMaxBehindBackoff));
  } else if (old_list_.has_value()) {
    next_call_ = std::min(next_call_, read_at);
  } else if (!is_reading_) {
    next_call_ = read_at;
  }
  if (hooks_.behind) {
    hooks_.behind();
  }
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
    unavailable_since_ = given_up_since_.value_or(
        absl::IsDeadlineExceeded(status) ? call_start_ : now);
    hooks_.event(
        {EventId::kStoreLost,
         {{"kind", options_.kind}, {"error", std::string(status.message())}}});
  }
  if (is_reading_) {
    backoff_ = std::clamp(backoff_ * 2, options_.min_backoff,
                          options_.max_reading_backoff);
  } else if (HearsFeed(now)) {
    backoff_ = std::clamp(backoff_ * 2, options_.min_fed_backoff,
                          options_.max_fed_backoff);
  } else {
    backoff_ =
        std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
  }
  // The feed does not tell when this router may read what it lacks.
  if (behind_since_.has_value()) {
    backoff_ = std::min(backoff_, kMaxBehindBackoff);
  }
  next_call_ = now + backoff_;
}

void ObjectWatcher::OnSuccess(TimePoint now) {
  backoff_ = Duration();
  next_call_ = now;
  last_silence_ = now - last_response_;
  last_response_ = now;
  own_response_ = now;
  last_success_ = now;
  given_up_since_.reset();
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
