#ifndef INCLUDE_GATEWAY_OBJECT_WATCHER_H_
#define INCLUDE_GATEWAY_OBJECT_WATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/gateway/platform_store.h"
#include "include/telemetry/event.h"

namespace papaya {

// Keeps up to date with the objects of one kind in the platform's store. Lists
// them, then watches for changes, and lists them again if the store no longer
// has the history since the last change seen. Retries failed calls with
// exponential backoff. Driven by OnTick; single-threaded.
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
    // Delay before the next watch after changes were received, so that changes
    // made close together arrive in one response. This saves calls, which all
    // routers make and which have a cost for the store.
    Duration coalesce_delay = std::chrono::milliseconds(200);
    // Bounds on the delay before a failed call is retried.
    Duration min_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::milliseconds(400);
    // store_recovered is called only after outages of at least this duration.
    Duration outage_threshold = std::chrono::seconds(1);
  };

  struct Hooks {
    // All objects of the kind, after a complete list.
    std::function<void(const std::vector<PlatformObject>&)> replaced;
    // One object was created, changed or deleted.
    std::function<void(const PlatformObject&)> changed;
    // The store is available again after an outage. Called before the objects
    // of its first response are delivered.
    std::function<void()> store_recovered;
    std::function<TimePoint()> now;
    EventHook event;
  };

  // `store` must outlive the watcher.
  ObjectWatcher(PlatformStore* store, Options options, Hooks hooks);
  ~ObjectWatcher();

  // Starts the next call if it is due and none is in flight.
  void OnTick(TimePoint now);

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
  void OnFailure(const absl::Status& status, TimePoint now);
  void OnSuccess(TimePoint now);
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
  // Objects from the pages of an unfinished list.
  std::vector<PlatformObject> pages_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_OBJECT_WATCHER_H_
