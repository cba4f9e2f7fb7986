#ifndef INCLUDE_GATEWAY_OBJECT_WATCHER_H_
#define INCLUDE_GATEWAY_OBJECT_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/gateway/feed_history.h"
#include "include/gateway/platform_store.h"
#include "include/telemetry/event.h"
#include "include/wire/feed_messages.h"

namespace papaya {

// Keeps up to date with the objects of one kind in the platform's store. Lists
// them, then watches for changes, and lists them again if the store no longer
// has the history since the last change seen. Retries failed calls with
// exponential backoff. Driven by OnTick; single-threaded.
//
// Another router may pass on what it reads (OnFeed). As long as that is recent,
// this router makes no calls. Versions order everything: changes that do not
// follow on the ones known here are not applied. The missing ones are asked for
// (Hooks::behind), and read from the store if they do not come, so that the
// objects never go back. They do if the store itself comes back from an older
// copy: then its versions are of a later era (store_era.h), all is listed anew,
// and what other routers pass on of the earlier era is older.
//
// With Options::starts_stale, the first list may be seconds old. Its objects
// are delivered once a feed or a watch has completed them.
//
// In a large fleet, one watcher of a router is the lead of the others
// (SetLead): while the store is unavailable, only the lead tries it.
class ObjectWatcher {
 public:
  struct Options {
    std::string kind;
    // The maximum wait of one watch. A silent connection is noticed after this
    // and the limit of the response. Both together leave time to read what has
    // changed within the 3 s after which a router counts as undisturbed.
    Duration wait = std::chrono::milliseconds(1200);
    // A watch whose response has not come so long after its wait is given up,
    // and its connection with it: a connection can go silent without an error.
    // Longer if responses are late, and up to kStoreCallTimeout only if the
    // store is so slow that it counts as disturbed.
    Duration response_limit = std::chrono::milliseconds(500);
    // The wait of watches after a failure, which probe whether the store is
    // available again. It is short because the outage counts as ongoing until
    // the probe is answered.
    Duration probe_wait = std::chrono::milliseconds(50);
    // Delay of the first watch after the first list. A router that starts
    // learns in it who can feed it.
    Duration first_watch_delay{};
    // Delay before the next watch after changes were received, so that changes
    // made close together arrive in one response. This saves calls, which all
    // routers make and which have a cost for the store.
    Duration coalesce_delay = std::chrono::milliseconds(200);
    // Bounds on the delay before a failed call is retried.
    Duration min_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::milliseconds(400);
    // store_recovered is called only after outages of at least this duration.
    Duration outage_threshold = std::chrono::seconds(1);
    // The maximum wait of one watch while other routers depend on this one.
    // Shorter, so that they notice sooner if it has lost the store.
    Duration feeding_wait = std::chrono::milliseconds(700);
    // The same of a router that reads for others, while StoreProbe shows that
    // the store responds to it.
    Duration reading_wait = std::chrono::milliseconds(700);
    // What another router has passed on is recent until this long after the
    // store confirmed it. It allows for `feeding_wait` and for the interval of
    // the updates.
    Duration max_feed_age = std::chrono::milliseconds(1400);
    // Maximum backoff while another router feeds this one, and will tell it
    // when the store is available again.
    Duration max_fed_backoff = std::chrono::seconds(3);
    // Minimum backoff in the same case.
    Duration min_fed_backoff = std::chrono::milliseconds(50);
    // Maximum backoff of a router that reads for others in a large fleet.
    Duration max_reading_backoff = std::chrono::milliseconds(400);
    // The same in the first settling_time of a router that waits for its feed.
    Duration settling_coalesce_delay = std::chrono::milliseconds(800);
    Duration settling_time = std::chrono::seconds(5);
    // Delay before the next watch after changes while other routers depend on
    // this one.
    Duration feeding_coalesce_delay = std::chrono::milliseconds(200);
    // While the feed is no longer recent, but still comes in, this router
    // leaves the store to the routers that take over for so much longer.
    Duration stale_feed_patience{};
    // How long changes that are missing may take to come from other routers.
    Duration gap_patience = std::chrono::milliseconds(600);
    // The first list may be old.
    bool starts_stale = false;
    // How long an old first list waits for a feed before a watch completes it.
    // A router is not ready before.
    Duration completion_delay = std::chrono::milliseconds(400);
  };

  struct Hooks {
    // All objects of the kind, after a complete list.
    std::function<void(const std::vector<PlatformObject>&)> replaced;
    // One object was created, changed or deleted.
    std::function<void(const PlatformObject&)> changed;
    // The store is available again after an outage. Called before the objects
    // of its first response are delivered.
    std::function<void()> store_recovered;
    // The store has come back from an older copy. Called before the objects of
    // that copy replace those known. May be empty.
    std::function<void()> store_restored;
    // Changes were read from the store, for other routers. Changes that are too
    // long to pass on are left out, which shows in the versions.
    std::function<void(const KindFeed&)> read;
    // Another router has changes that this one lacks. May be empty.
    std::function<void()> behind;
    std::function<TimePoint()> now;
    EventHook event;
  };

  // `store` must outlive the watcher.
  ObjectWatcher(PlatformStore* store, Options options, Hooks hooks);
  ~ObjectWatcher();

  // Starts the next call if it is due and none is in flight.
  void OnTick(TimePoint now);

  // Another router has passed on what it read of this kind.
  void OnFeed(const KindFeed& feed, TimePoint now);

  // What this router knows, to be passed on. Without changes.
  KindFeed MakeFeed(TimePoint now) const;

  // What this router knows, to be compared by another one.
  FeedRequest::KindVersion MakeVersion() const;

  // Returns the changes after `version` that are still known here.
  std::vector<KindFeed> ChangesSince(ObjectVersion version,
                                     TimePoint now) const {
    return history_.Since(version, now);
  }

  // Another router knows this version. If the watch under way does not return
  // it soon, its response was lost, and the watch is started again.
  void OnPeerVersion(ObjectVersion version, TimePoint now);

  // The store responded to a call made at `sent`, so that it would have
  // responded to the watch under way if there were changes.
  void OnStoreAlive(TimePoint sent);

  // The store did not respond to a call on another connection. A watch under
  // way is started again on a new one.
  void OnStoreSilent(TimePoint now);

  // Other routers depend on what this one reads.
  void SetFeeding(bool is_feeding) { is_feeding_ = is_feeding; }

  // No feed is to be expected, so that an old first list is completed by a
  // watch.
  void SetAlone(bool is_alone);

  // This router reads the store for others, and does not rely on a feed.
  void SetReading(bool is_reading);

  // While the store is unavailable, this watcher calls it only once `lead` has
  // succeeded. Null for none.
  void SetLead(const ObjectWatcher* lead) { lead_ = lead; }

  // True while another router feeds this one.
  bool IsFed(TimePoint now) const {
    return is_listed_ && !must_list_ && now < fed_until_;
  }

  const std::string& kind() const { return options_.kind; }

  // True once all objects of the kind were listed, and completed if they were
  // old.
  bool IsListed() const { return is_listed_; }

  // Returns the time since the last successful response. It exceeds the wait of
  // a watch only while calls fail.
  Duration TimeSinceLastResponse(TimePoint now) const {
    return now - last_response_;
  }

  // Returns how long nothing was heard from the store before the last
  // successful response.
  Duration SilenceBeforeLastResponse() const { return last_silence_; }

  // True from the first failed call until a call succeeds.
  bool IsStoreUnavailable() const { return is_unavailable_; }

  // Returns the time since the store last responded to this router itself.
  Duration TimeSinceOwnResponse(TimePoint now) const {
    return now - own_response_;
  }

 private:
  bool MayCall(TimePoint now) const;
  Duration CoalesceDelay(TimePoint now) const;
  bool IsHeldBack(TimePoint now) const;
  bool HearsFeed(TimePoint now) const;
  // Calls store_restored if `version` is of another era than what is known.
  void NoteEra(ObjectVersion version);
  // Takes over a whole list from another router.
  void OnWholeList(const KindFeed& feed,
                   const std::vector<PlatformObject>& objects,
                   TimePoint now);
  // Keeps a whole list for routers that lack more than the last changes.
  void KeepList(const std::vector<PlatformObject>& objects, TimePoint now);
  // True if no response of the store is recent, neither here nor in the feed.
  bool IsStale(TimePoint now) const {
    return now - last_response_ >= options_.max_feed_age;
  }
  // Gives up the watch under way if its response was lost.
  void AbandonLostWatch(TimePoint now);
  bool MayGiveUp() const;
  void GiveUpWatch(TimePoint now);
  // How long after its wait the response to a watch may come.
  Duration ResponseLimit() const;
  void OnGap(const KindFeed& feed, TimePoint now);
  // Delivers the objects of an old list with the changes made since.
  void Complete(const std::vector<PlatformObject>& changes);
  void List();
  void Watch();
  void OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void LogUnreadable(const ObjectBatch& batch);
  void OnFailure(const absl::Status& status, TimePoint now);
  void OnSuccess(TimePoint now);
  void OnRecovered(TimePoint now);
  // Reports changes read from the store, which led to `version_`.
  void PassOn(const std::vector<PlatformObject>& changes,
              ObjectVersion unchanged_since,
              TimePoint now);
  // Applies changes that were made after `from` up to `to`. Returns false if
  // they do not follow on the version known here, or if it is not clear which
  // of them are new.
  bool Merge(ObjectVersion from,
             ObjectVersion to,
             const std::vector<PlatformObject>& changes);
  // Returns a callback that calls `handle` with its batch, unless the watcher
  // was destroyed in the meantime.
  PlatformStore::BatchCallback WrapCallback(
      void (ObjectWatcher::*handle)(absl::StatusOr<ObjectBatch>, TimePoint));

  PlatformStore* const store_;
  const Options options_;
  const Hooks hooks_;
  const ObjectWatcher* lead_ = nullptr;
  bool is_calling_ = false;
  // The call under way is a watch.
  bool is_watching_ = false;
  // Number of the last call. The responses to others are ignored.
  uint64_t call_ = 0;
  bool must_list_ = true;
  bool is_listed_ = false;
  // The era of the objects that were delivered last.
  StoreEra listed_era_;
  bool is_unavailable_ = false;
  TimePoint now_;
  TimePoint call_start_;
  // The wait of the watch under way.
  Duration watch_wait_{};
  // How long after its wait the last watch without changes returned.
  Duration response_delay_{};
  // The start of the first watch that was given up since the last response.
  std::optional<TimePoint> given_up_since_;
  TimePoint next_call_;
  TimePoint unavailable_since_;
  TimePoint last_response_;
  Duration last_silence_{};
  // The last one to this router itself.
  TimePoint own_response_;
  Duration backoff_{};
  ObjectVersion version_;
  // The version from which the current watch started.
  ObjectVersion watched_version_;
  bool is_feeding_ = false;
  bool is_reading_ = false;
  // No feed is to be expected.
  bool is_alone_ = false;
  // When the first list was complete.
  TimePoint listed_at_;
  // The objects of a list that may be old, until they are completed.
  std::optional<std::vector<PlatformObject>> old_list_;
  // Since when this router lacks changes that another one has.
  std::optional<TimePoint> behind_since_;
  // The newest version that another router knows, and since when it is ahead.
  ObjectVersion peer_version_;
  std::optional<TimePoint> peer_ahead_since_;
  // The last successful call of this router.
  std::optional<TimePoint> last_success_;
  FeedHistory history_;
  // There were no changes after this version up to `version_`.
  ObjectVersion unchanged_since_;
  // The feed that showed a version that this router lacks, and until when that
  // feed is recent.
  ObjectVersion gap_feed_version_;
  TimePoint gap_feed_until_;
  // What another router passes on is recent until then.
  TimePoint fed_until_;
  // The last time at which another router passed on anything.
  TimePoint last_feed_;
  // The last end of an outage, seen here or by another router.
  std::optional<TimePoint> last_recovery_;
  // Objects from the pages of an unfinished list.
  std::vector<PlatformObject> pages_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_OBJECT_WATCHER_H_
