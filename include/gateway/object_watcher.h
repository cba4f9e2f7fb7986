#ifndef INCLUDE_GATEWAY_OBJECT_WATCHER_H_
#define INCLUDE_GATEWAY_OBJECT_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/units.h"
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
// follow on the ones known here are not applied, and are read from the store
// instead, so that the objects never go back.
class ObjectWatcher {
 public:
  struct Options {
    std::string kind;
    // The maximum wait of one watch. A dead connection is noticed after this
    // plus the store client's own timeout.
    Duration wait = std::chrono::seconds(2);
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
    // What another router has passed on is recent until this long after the
    // store confirmed it. It allows for `feeding_wait` and for the interval of
    // the updates.
    Duration max_feed_age = std::chrono::milliseconds(1400);
    // Maximum backoff while another router feeds this one, and will tell it
    // when the store is available again.
    Duration max_fed_backoff = std::chrono::seconds(3);
  };

  struct Hooks {
    // All objects of the kind, after a complete list.
    std::function<void(const std::vector<PlatformObject>&)> replaced;
    // One object was created, changed or deleted.
    std::function<void(const PlatformObject&)> changed;
    // The store is available again after an outage. Called before the objects
    // of its first response are delivered.
    std::function<void()> store_recovered;
    // Changes were read from the store, for other routers. Changes that are too
    // long to pass on are left out, which shows in the versions.
    std::function<void(const KindFeed&)> read;
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

  // Other routers depend on what this one reads.
  void SetFeeding(bool is_feeding) { is_feeding_ = is_feeding; }

  // True while another router feeds this one.
  bool IsFed(TimePoint now) const {
    return is_listed_ && !must_list_ && now < fed_until_;
  }

  const std::string& kind() const { return options_.kind; }

  // True once all objects of the kind were listed.
  bool IsListed() const { return is_listed_; }

  // Returns the time since the last successful response. It exceeds the wait of
  // a watch only while calls fail.
  Duration TimeSinceLastResponse(TimePoint now) const {
    return now - last_response_;
  }

  // True from the first failed call until a call succeeds.
  bool IsStoreUnavailable() const { return is_unavailable_; }

 private:
  void List();
  void Watch();
  void OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void LogUnreadable(const ObjectBatch& batch);
  void OnFailure(const absl::Status& status, TimePoint now);
  void OnSuccess(TimePoint now);
  void OnRecovered(TimePoint now);
  // Reports changes read from the store, which led to `version_`.
  void PassOn(const std::vector<PlatformObject>& changes, TimePoint now);
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
  bool is_calling_ = false;
  bool must_list_ = true;
  bool is_listed_ = false;
  bool is_unavailable_ = false;
  TimePoint now_;
  TimePoint call_start_;
  TimePoint next_call_;
  TimePoint unavailable_since_;
  TimePoint last_response_;
  Duration backoff_{};
  ObjectVersion version_;
  // The version from which the current watch started.
  ObjectVersion watched_version_;
  bool is_feeding_ = false;
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
