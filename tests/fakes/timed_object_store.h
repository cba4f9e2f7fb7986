#ifndef TESTS_FAKES_TIMED_OBJECT_STORE_H_
#define TESTS_FAKES_TIMED_OBJECT_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/base/random.h"
#include "include/config/object_store.h"
#include "tests/fakes/event_queue.h"

namespace papaya {

// A fake of the platform's Object API in virtual time. It responds after a
// delay, can lose the responses of calls that took effect, and can be
// unavailable.
class TimedObjectStore : public ObjectStore {
 public:
  struct Faults {
    Duration delay = std::chrono::milliseconds(5);
    // Share of responses that are lost.
    double lost_responses = 0.0;
    bool is_unavailable = false;
  };

  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr Duration kMaxWatchDuration = std::chrono::seconds(30);

  TimedObjectStore(EventQueue* queue, Random random)
      : queue_(queue), random_(random) {}

  Faults faults;

  // Number of calls so far; a watch counts once, regardless of its duration.
  int64_t calls() const { return calls_; }

  // Writes unconditionally, as another client would.
  void Set(const std::string& key, const std::string& value) {
    StoredObject& object = objects_[key];
    object = {key, object.version.Next(), OperationId(), value};
    NotifyWatches(key);
  }

  void Get(const std::string& key, GetCallback done) override {
    StartCall(done, [this, key, done] { Respond(done, Find(key)); });
  }

  void Put(const ConditionalWrite& write, PutCallback done) override {
    StartCall(done, [this, write, done] { Respond(done, Apply(write)); });
  }

  void List(const std::string& prefix, ListCallback done) override {
    StartCall(done, [this, prefix, done] {
      std::vector<StoredObject> found;
      for (const auto& [key, object] : objects_) {
        if (key.starts_with(prefix)) {
          found.push_back(object);
        }
      }
      Respond(done, absl::StatusOr<std::vector<StoredObject>>(found));
    });
  }

  void Watch(const std::string& key,
             ObjectVersion after,
             GetCallback done) override {
    StartCall(done, [this, key, after, done] {
      const auto found = objects_.find(key);
      if (found != objects_.end() && found->second.version > after) {
        Respond(done, Find(key));
        return;
      }
      const uint64_t id = next_watch_++;
      watches_[id] = {key, done};
      queue_->After(kMaxWatchDuration, [this, id] {
        EndWatch(id, Error(absl::StatusCode::kDeadlineExceeded,
                           "object unchanged until the watch timed out"));
      });
    });
  }

  // Starts or ends an outage. Starting one ends all pending watches with
  // kUnavailable.
  void SetUnavailable(bool is_unavailable) {
    faults.is_unavailable = is_unavailable;
    while (is_unavailable && !watches_.empty()) {
      EndWatch(watches_.begin()->first,
               Error(absl::StatusCode::kUnavailable,
                     "watch interrupted by an outage"));
    }
  }

 private:
  struct PendingWatch {
    std::string key;
    GetCallback done;
  };

  static absl::Status Error(absl::StatusCode code, const std::string& what) {
    return MakeError(code, {.step = "store.fake"}, what);
  }

  // Counts the call and runs `effect` after the delay. During an outage the
  // call fails with kUnavailable after kCallTimeout instead.
  template <typename Callback>
  void StartCall(const Callback& done, std::function<void()> effect) {
    ++calls_;
    queue_->After(faults.delay, [this, done, effect = std::move(effect)] {
      if (faults.is_unavailable) {
        queue_->After(kCallTimeout, [done] {
          done(Error(absl::StatusCode::kUnavailable, "store is unavailable"));
        });
        return;
      }
      effect();
    });
  }

  // Calls `done` with `result` after the delay, or with kUnavailable after
  // kCallTimeout if the response is lost.
  template <typename Callback, typename Result>
  void Respond(const Callback& done, Result result) {
    if (random_.Chance(faults.lost_responses)) {
      queue_->After(kCallTimeout, [done] {
        done(Error(absl::StatusCode::kUnavailable, "response lost"));
      });
      return;
    }
    queue_->After(faults.delay, [done, result] { done(result); });
  }

  absl::StatusOr<StoredObject> Find(const std::string& key) {
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
      return Error(absl::StatusCode::kNotFound, key);
    }
    return found->second;
  }

  absl::StatusOr<ObjectVersion> Apply(const ConditionalWrite& write) {
    const auto found = objects_.find(write.key);
    const ObjectVersion current =
        found == objects_.end() ? ObjectVersion(0) : found->second.version;
    if (current != write.expected) {
      return Error(absl::StatusCode::kAborted,
                   "version differs from the expected one");
    }
    if (!write.value.has_value()) {
      objects_.erase(write.key);
      return current;
    }
    objects_[write.key] = {write.key, current.Next(), write.operation,
                           *write.value};
    NotifyWatches(write.key);
    return current.Next();
  }

  void NotifyWatches(const std::string& key) {
    std::vector<uint64_t> notified;
    for (const auto& [id, watch] : watches_) {
      if (watch.key == key) {
        notified.push_back(id);
      }
    }
    for (uint64_t id : notified) {
      EndWatch(id, Find(key));
    }
  }

  void EndWatch(uint64_t id, const absl::StatusOr<StoredObject>& result) {
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
      return;
    }
    const GetCallback done = std::move(found->second.done);
    watches_.erase(found);
    Respond(done, result);
  }

  EventQueue* const queue_;
  Random random_;
  std::map<std::string, StoredObject> objects_;
  std::map<uint64_t, PendingWatch> watches_;
  uint64_t next_watch_ = 0;
  int64_t calls_ = 0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_TIMED_OBJECT_STORE_H_
