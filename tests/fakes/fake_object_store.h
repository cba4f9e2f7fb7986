#ifndef TESTS_FAKES_FAKE_OBJECT_STORE_H_
#define TESTS_FAKES_FAKE_OBJECT_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/object_store.h"

namespace papaya {

// Objects shared by all FakeObjectStore faces, with the platform's faults.
// Virtual time: RunUntil makes what is due happen.
struct FakeObjectStoreBackend {
  struct Faults {
    bool is_out = false;
    // Share of writes that take effect although their answer is lost.
    double lost_answer = 0.0;
    // Share of calls that fail before they take effect.
    double lost_call = 0.0;
    // A call takes up to this long each way.
    Duration max_delay = std::chrono::milliseconds(5);
    // Share of calls that take ten times as long.
    double slow = 0.0;
  };

  explicit FakeObjectStoreBackend(uint64_t seed) : random(seed) {}

  void At(TimePoint when, std::function<void()> action) {
    queue.emplace(when, std::move(action));
  }

  // Runs all actions due by `until`, in order of time.
  void RunUntil(TimePoint until) {
    while (!queue.empty() && queue.begin()->first <= until) {
      now = queue.begin()->first;
      const std::function<void()> action = std::move(queue.begin()->second);
      queue.erase(queue.begin());
      action();
    }
    now = until;
  }

  Duration Delay() {
    const double scale = random.Chance(faults.slow) ? 10.0 : 1.0;
    return SecondsToDuration(ToSeconds(faults.max_delay) * random.Uniform() *
                             scale);
  }

  absl::StatusOr<StoredObject> Read(const std::string& key) const {
    const auto found = objects.find(key);
    if (found == objects.end()) {
      return absl::NotFoundError(key);
    }
    return found->second;
  }

  absl::StatusOr<ObjectVersion> Write(const ConditionalWrite& write) {
    const auto found = objects.find(write.key);
    const ObjectVersion present =
        found == objects.end() ? ObjectVersion(0) : found->second.version;
    if (present != write.expected) {
      return absl::AbortedError(write.key);
    }
    const ObjectVersion version = last_version.Next();
    last_version = version;
    if (!write.value.has_value()) {
      objects.erase(write.key);
      return version;
    }
    objects[write.key] = {.key = write.key,
                          .version = version,
                          .operation = write.operation,
                          .value = *write.value};
    return version;
  }

  TimePoint now;
  Faults faults;
  Random random;
  std::map<std::string, StoredObject> objects;
  std::multimap<TimePoint, std::function<void()>> queue;
  // Versions are never used again, not even after a removal.
  ObjectVersion last_version;
  int reads = 0;
  int writes = 0;
};

// One process's view of the backend.
class FakeObjectStore : public ObjectStore {
 public:
  explicit FakeObjectStore(FakeObjectStoreBackend* backend)
      : backend_(backend) {}

  void Get(const std::string& key, GetCallback done) override {
    ++backend_->reads;
    Call<StoredObject>(false, std::move(done), [backend = backend_, key] {
      return backend->Read(key);
    });
  }

  void Put(const ConditionalWrite& write, PutCallback done) override {
    ++backend_->writes;
    Call<ObjectVersion>(true, std::move(done), [backend = backend_, write] {
      return backend->Write(write);
    });
  }

  void List(const std::string& prefix, ListCallback done) override {
    ++backend_->reads;
    Call<std::vector<StoredObject>>(
        false, std::move(done),
        [backend = backend_,
         prefix]() -> absl::StatusOr<std::vector<StoredObject>> {
          std::vector<StoredObject> found;
          for (const auto& [key, object] : backend->objects) {
            if (key.starts_with(prefix)) {
              found.push_back(object);
            }
          }
          return found;
        });
  }

  // Looks every 50 ms for up to 10 s.
  void Watch(const std::string& key,
             ObjectVersion after,
             GetCallback done) override {
    ++backend_->reads;
    Poll(backend_, key, after, done, backend_->now + std::chrono::seconds(10));
  }

 private:
  template <typename T>
  void Call(bool is_write,
            std::function<void(absl::StatusOr<T>)> done,
            std::function<absl::StatusOr<T>()> effect) {
    const TimePoint arrives = backend_->now + backend_->Delay();
    backend_->At(arrives, [backend_pointer = backend_, is_write,
                           done = std::move(done), effect = std::move(effect)] {
      FakeObjectStoreBackend& backend = *backend_pointer;
      const bool is_refused = backend.faults.is_out ||
                              backend.random.Chance(backend.faults.lost_call);
      const absl::StatusOr<T> result =
          is_refused ? absl::StatusOr<T>(absl::UnavailableError("out"))
                     : effect();
      const bool is_lost =
          is_write && backend.random.Chance(backend.faults.lost_answer);
      backend.At(backend.now + backend.Delay(), [done, result, is_lost] {
        done(is_lost ? absl::StatusOr<T>(absl::UnavailableError("cut"))
                     : result);
      });
    });
  }

  static void Poll(FakeObjectStoreBackend* backend,
                   const std::string& key,
                   ObjectVersion after,
                   const GetCallback& done,
                   TimePoint until) {
    backend->At(backend->now + std::chrono::milliseconds(50),
                [backend, key, after, done, until] {
                  if (backend->faults.is_out) {
                    done(absl::UnavailableError("out"));
                    return;
                  }
                  const absl::StatusOr<StoredObject> object =
                      backend->Read(key);
                  if (object.ok() && object->version > after) {
                    done(object);
                    return;
                  }
                  if (backend->now >= until) {
                    done(absl::DeadlineExceededError("nothing changed"));
                    return;
                  }
                  Poll(backend, key, after, done, until);
                });
  }

  FakeObjectStoreBackend* backend_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_OBJECT_STORE_H_
