#ifndef INCLUDE_GATEWAY_OBJECT_WATCHER_H_
#define INCLUDE_GATEWAY_OBJECT_WATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/gateway/object_feed.h"
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
    Duration gather = std::chrono::milliseconds(200);
    // Pauses before a failed call is repeated.
    Duration first_pause = std::chrono::milliseconds(50);
    Duration longest_pause = std::chrono::milliseconds(400);
    // Failures for longer than this are told as an outage.
    Duration outage_after = std::chrono::seconds(1);
  };

  struct Hooks {
    // The whole kind, after a list.
    std::function<void(const std::vector<FeedObject>&)> replaced;
    // One object was made, changed or deleted.
    std::function<void(const FeedObject&)> changed;
    // The store answers again after an outage; called before what it answered.
    std::function<void()> regained;
    std::function<TimePoint()> now;
    EventHook event;
  };

  // `feed` must outlive this.
  ObjectWatcher(ObjectFeed* feed, Options options, Hooks hooks);
  ~ObjectWatcher();

  // Makes the next call, if it is due.
  void OnTick(TimePoint now);

  // True once the whole kind was listed.
  bool IsListed() const { return is_listed_; }

  // The time since the store last answered; longer than a watch's wait only
  // while calls fail.
  Duration AgeAt(TimePoint now) const { return now - answered_; }

  // True while calls fail.
  bool IsOut() const { return is_out_; }

 private:
  void List();
  void Watch();
  void OnList(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnWatch(absl::StatusOr<ObjectBatch> batch, TimePoint now);
  void OnFailure(const absl::Status& status, TimePoint now);
  void OnSuccess(TimePoint now);
  // A callback that passes its batch on, unless this is gone by then.
  ObjectFeed::BatchCallback Wrap(
      void (ObjectWatcher::*handle)(absl::StatusOr<ObjectBatch>, TimePoint));

  ObjectFeed* const feed_;
  const Options options_;
  const Hooks hooks_;
  bool is_calling_ = false;
  bool must_list_ = true;
  bool is_listed_ = false;
  bool is_out_ = false;
  TimePoint now_;
  TimePoint call_began_;
  TimePoint next_call_;
  TimePoint out_since_;
  TimePoint answered_;
  Duration pause_{};
  ObjectVersion version_;
  // The pages of a list that has begun.
  std::vector<FeedObject> pages_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_OBJECT_WATCHER_H_
