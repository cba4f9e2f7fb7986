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

// Follows one kind of objects in the platform's store: lists it, watches it,
// and lists it again where the history is gone. Failed calls are repeated with
// growing pauses. Driven by OnTick; one thread.
class ObjectWatcher {
 public:
  struct Options {
    std::string kind;
    // The longest wait of one watch. A connection that has gone silent is
    // noticed after this and the feed's own time limit.
    Duration wait = std::chrono::seconds(2);
    // The wait of the first watch after a failure, which tells whether the
    // store is back: a long one would count as outage until it ends.
    Duration probe_wait = std::chrono::milliseconds(50);
    // After changes, the next watch waits so long, so that what changes
    // together comes in one answer: each call has its price, and all routers
    // make them.
    Duration coalesce_delay = std::chrono::milliseconds(200);
    // Pauses before a failed call is repeated.
    Duration min_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::milliseconds(400);
    // Failures for longer than this are told as an outage.
    Duration outage_threshold = std::chrono::seconds(1);
  };

  struct Hooks {
    // The whole kind, after a list.
    std::function<void(const std::vector<PlatformObject>&)> replaced;
    // One object was made, changed or deleted.
    std::function<void(const PlatformObject&)> changed;
    // The store answers again after an outage; called before what it answered.
    std::function<void()> store_recovered;
    std::function<TimePoint()> now;
    EventHook event;
  };

  // `feed` must outlive this.
  ObjectWatcher(PlatformStore* store, Options options, Hooks hooks);
  ~ObjectWatcher();

  // Makes the next call, if it is due.
  void OnTick(TimePoint now);

  // True once the whole kind was listed.
  bool IsListed() const { return is_listed_; }

  // The time since the store last answered; longer than a watch's wait only
  // while calls fail.
  Duration TimeSinceLastResponse(TimePoint now) const {
    return now - last_response_;
  }

  // True while calls fail.
  bool IsStoreUnavailable() const { return is_unavailable_; }

 private:
  void List();
  void Watch();
  void OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnFailure(const absl::Status& status, TimePoint now);
  void OnSuccess(TimePoint now);
  // A callback that passes its batch on, unless this is gone by then.
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
  // The pages of a list that has begun.
  std::vector<PlatformObject> pages_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_OBJECT_WATCHER_H_
