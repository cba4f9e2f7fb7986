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

// The platform's Object API in virtual time: answers after a delay, loses
// answers of calls that took effect, and is out while told so.
class TimedObjectStore : public ObjectStore {
 public:
  struct Faults {
    Duration delay = std::chrono::milliseconds(5);
    double lost_answers = 0.0;
    bool is_out = false;
  };

  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr Duration kLongestWatch = std::chrono::seconds(30);

  TimedObjectStore(EventQueue* queue, Random random)
      : queue_(queue), random_(random) {}

  Faults faults;

  // All calls so far; a watch counts once, however long it waits.
  int64_t calls() const { return calls_; }

  // Writes without condition, as another writer would.
  void Set(const std::string& key, const std::string& value) {
    StoredObject& object = objects_[key];
    object = {key, object.version.Next(), OperationId(), value};
    NotifyWatches(key);
  }

  void Get(const std::string& key, GetCallback done) override {
    Start(done, [this, key, done] { Answer(done, Find(key)); });
  }

  void Put(const ConditionalWrite& write, PutCallback done) override {
    Start(done, [this, write, done] { Answer(done, Apply(write)); });
  }

  void List(const std::string& prefix, ListCallback done) override {
    Start(done, [this, prefix, done] {
      std::vector<StoredObject> found;
      for (const auto& [key, object] : objects_) {
        if (key.starts_with(prefix)) {
          found.push_back(object);
        }
      }
      Answer(done, absl::StatusOr<std::vector<StoredObject>>(found));
    });
  }

  void Watch(const std::string& key,
             ObjectVersion after,
             GetCallback done) override {
    Start(done, [this, key, after, done] {
      const auto found = objects_.find(key);
      if (found != objects_.end() && found->second.version > after) {
        Answer(done, Find(key));
        return;
      }
      const uint64_t id = next_watch_++;
      watches_[id] = {key, done};
      queue_->After(kLongestWatch, [this, id] {
        EndWatch(id, Error(absl::StatusCode::kDeadlineExceeded, "unchanged"));
      });
    });
  }

  // Starts or ends an outage; watches that wait are cut.
  void SetOut(bool is_out) {
    faults.is_out = is_out;
    while (is_out && !watches_.empty()) {
      EndWatch(watches_.begin()->first,
               Error(absl::StatusCode::kUnavailable, "cut"));
    }
  }

 private:
  struct Waiting {
    std::string key;
    GetCallback done;
  };

  static absl::Status Error(absl::StatusCode code, const std::string& what) {
    return MakeError(code, {.step = "store.fake"}, what);
  }

  template <typename Callback>
  void Start(const Callback& done, std::function<void()> effect) {
    ++calls_;
    queue_->After(faults.delay, [this, done, effect = std::move(effect)] {
      if (faults.is_out) {
        queue_->After(kCallTimeout, [done] {
          done(Error(absl::StatusCode::kUnavailable, "out"));
        });
        return;
      }
      effect();
    });
  }

  template <typename Callback, typename Result>
  void Answer(const Callback& done, Result result) {
    if (random_.Chance(faults.lost_answers)) {
      queue_->After(kCallTimeout, [done] {
        done(Error(absl::StatusCode::kUnavailable, "answer lost"));
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
      return Error(absl::StatusCode::kAborted, "version differs");
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
    std::vector<uint64_t> woken;
    for (const auto& [id, watch] : watches_) {
      if (watch.key == key) {
        woken.push_back(id);
      }
    }
    for (uint64_t id : woken) {
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
    Answer(done, result);
  }

  EventQueue* const queue_;
  Random random_;
  std::map<std::string, StoredObject> objects_;
  std::map<uint64_t, Waiting> watches_;
  uint64_t next_watch_ = 0;
  int64_t calls_ = 0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_TIMED_OBJECT_STORE_H_
