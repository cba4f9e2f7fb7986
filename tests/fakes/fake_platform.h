#ifndef TESTS_FAKES_FAKE_PLATFORM_H_
#define TESTS_FAKES_FAKE_PLATFORM_H_

#include <algorithm>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/gateway/platform_store.h"
#include "include/gateway/store_era.h"
#include "tests/fakes/event_queue.h"

namespace papaya {

// A platform's store of one object kind in virtual time, and its clients. Each
// client can be cut off, and the store can be down for all.
class FakePlatform {
 public:
  explicit FakePlatform(EventQueue* queue) : queue_(queue) {}

  // Creates or changes an object.
  void Put(const std::string& name, const boost::json::value& spec = {}) {
    specs_[name] = spec;
    Append(name, /*is_deleted=*/false);
  }
  // A deletion carries the version of the last change before it, as far as
  // routers may rely on it.
  void Delete(const std::string& name) {
    if (objects_.contains(name)) {
      Append(name, /*is_deleted=*/true);
    }
  }
  // Changes of other kinds raise the version, too.
  void TouchOtherKind() { ++version_; }

  uint64_t version() const { return version_; }
  // The versions of the objects by name.
  const std::map<std::string, uint64_t>& objects() const { return objects_; }
  // Calls that reached the store.
  int calls() const { return calls_; }
  // The same by what they were and how they ended: "list", "stale list",
  // "watch, changes", "watch, none" and "failed".
  const std::map<std::string, int>& calls_by_kind() const {
    return calls_by_kind_;
  }
  // The store comes back as it was `age` ago, in the next era. Versions are
  // given out again.
  void Restore(Duration age) {
    ++era_;
    std::erase_if(changes_, [time = queue_->now() - age](const Change& change) {
      return change.time > time;
    });
    version_ = changes_.empty() ? 1 : changes_.back().version;
    oldest_ = std::min(oldest_, version_);
    objects_.clear();
    for (const Change& change : changes_) {
      if (change.object.is_deleted) {
        objects_.erase(change.object.name);
      } else {
        objects_[change.object.name] = change.version;
        specs_[change.object.name] = change.object.spec;
      }
    }
  }

  // The history before now is lost: watches from earlier versions fail.
  void ForgetHistory() { oldest_ = version_; }

  // Creates or changes an object with this desired state.
  void PutSpec(const std::string& name, boost::json::value spec) {
    specs_[name] = std::move(spec);
    Put(name);
  }

  bool is_down = false;
  // How old a stale list may be.
  Duration staleness{};
  // Time until a call is answered.
  Duration call_time = std::chrono::milliseconds(4);
  // True for a response that is lost, so that the caller times out.
  std::function<bool()> loses_response = [] { return false; };

  class Client;
  std::unique_ptr<Client> MakeClient();

 private:
  struct Change {
    uint64_t version = 0;
    TimePoint time;
    PlatformObject object;
  };

  void Append(const std::string& name, bool is_deleted) {
    ++version_;
    PlatformObject object;
    object.name = name;
    object.is_deleted = is_deleted;
    if (is_deleted) {
      object.version = ObjectVersion(objects_[name]);
      objects_.erase(name);
    } else {
      object.version = ObjectVersion(version_);
      object.spec = SpecOf(name);
      objects_[name] = version_;
    }
    changes_.push_back({version_, queue_->now(), object});
  }

  boost::json::value SpecOf(const std::string& name) const {
    const auto found = specs_.find(name);
    return found == specs_.end() ? boost::json::value() : found->second;
  }

  ObjectVersion Stamp(uint64_t version) const {
    return MakeObjectVersion(StoreEra(era_), version);
  }

  PlatformObject Stamped(PlatformObject object) const {
    object.version = Stamp(object.version.value());
    return object;
  }

  ObjectBatch ChangesAfter(ObjectVersion version) const {
    ObjectBatch batch;
    for (const Change& change : changes_) {
      if (change.version > RevisionOf(version)) {
        batch.objects.push_back(Stamped(change.object));
      }
    }
    batch.store_version = Stamp(version_);
    return batch;
  }

  // The store as it was at `time`.
  ObjectBatch ListAt(TimePoint time) const {
    ObjectBatch batch;
    std::map<std::string, PlatformObject> objects;
    uint64_t version = 1;
    for (const Change& change : changes_) {
      if (change.time > time) {
        break;
      }
      version = change.version;
      if (change.object.is_deleted) {
        objects.erase(change.object.name);
      } else {
        objects[change.object.name] = change.object;
      }
    }
    for (const auto& [name, object] : objects) {
      batch.objects.push_back(Stamped(object));
    }
    batch.store_version = Stamp(version);
    return batch;
  }

  EventQueue* const queue_;
  uint64_t era_ = 0;
  uint64_t oldest_ = 0;
  uint64_t version_ = 1;
  std::map<std::string, uint64_t> objects_;
  std::map<std::string, boost::json::value> specs_;
  std::vector<Change> changes_;
  int calls_ = 0;
  std::map<std::string, int> calls_by_kind_;
};

class FakePlatform::Client final : public PlatformStore {
 public:
  explicit Client(FakePlatform* platform) : platform_(platform) {}

  void List(const std::string& /*kind*/,
            const std::string& /*after*/,
            BatchCallback done) override {
    Answer(
        [this, done] {
          ++platform_->calls_by_kind_["list"];
          ObjectBatch batch;
          for (const auto& [name, version] : platform_->objects_) {
            PlatformObject object;
            object.name = name;
            object.version = platform_->Stamp(version);
            object.spec = platform_->SpecOf(name);
            batch.objects.push_back(object);
          }
          batch.store_version = platform_->Stamp(platform_->version_);
          done(std::move(batch));
        },
        done);
  }

  void ListStale(const std::string& /*kind*/,
                 const std::string& /*after*/,
                 BatchCallback done) override {
    Answer(
        [this, done] {
          ++platform_->calls_by_kind_["stale list"];
          done(platform_->ListAt(platform_->queue_->now() -
                                 platform_->staleness));
        },
        done);
  }

  void Watch(const std::string& /*kind*/,
             ObjectVersion version,
             Duration wait,
             BatchCallback done) override {
    const TimePoint end = platform_->queue_->now() + wait;
    Answer([this, version, end, done] { Poll(version, end, done); }, done,
           wait);
  }

  void Create(const std::string&,
              const PlatformObject&,
              WriteCallback) override {}
  void PutStatus(const std::string&,
                 const PlatformObject&,
                 WriteCallback) override {}

  bool is_cut = false;
  // Responses do not arrive, and the caller is not told.
  bool is_silent = false;

 private:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(5);

  bool IsFailing() const { return is_cut || platform_->is_down; }

  static absl::Status Failure() {
    return MakeError(absl::StatusCode::kUnavailable,
                     {.step = "store.call", .peer = "store"}, "failed");
  }

  // Fails the call at its timeout if no response arrives.
  bool Loses(TimePoint deadline, const BatchCallback& done) {
    if (!is_silent && !platform_->loses_response()) {
      return false;
    }
    platform_->queue_->At(deadline, [this, done] {
      ++platform_->calls_by_kind_["failed"];
      done(MakeError(absl::StatusCode::kDeadlineExceeded,
                     {.step = "store.call", .peer = "store"}, "no response"));
    });
    return true;
  }

  void Answer(std::function<void()> answer,
              const BatchCallback& done,
              Duration wait = Duration()) {
    ++platform_->calls_;
    const TimePoint deadline =
        platform_->queue_->now() + wait + kStoreCallTimeout;
    platform_->queue_->After(
        platform_->call_time,
        [this, answer = std::move(answer), done, deadline] {
          if (is_silent) {
            Loses(deadline, done);
          } else if (IsFailing()) {
            ++platform_->calls_by_kind_["failed"];
            done(Failure());
          } else {
            answer();
          }
        });
  }

  void Poll(ObjectVersion version, TimePoint end, const BatchCallback& done) {
    if (is_silent) {
      Loses(end + kStoreCallTimeout, done);
      return;
    }
    const bool is_known = EraOf(version).value() == platform_->era_ &&
                          RevisionOf(version) >= platform_->oldest_;
    if (!is_known) {
      ++platform_->calls_by_kind_["watch, no history"];
      done(MakeError(absl::StatusCode::kOutOfRange,
                     {.step = "store.call", .peer = "store"}, "no history"));
      return;
    }
    if (IsFailing()) {
      ++platform_->calls_by_kind_["failed"];
      done(Failure());
      return;
    }
    ObjectBatch batch = platform_->ChangesAfter(version);
    if (!batch.objects.empty() || platform_->queue_->now() >= end) {
      if (Loses(end + kStoreCallTimeout, done)) {
        return;
      }
      ++platform_->calls_by_kind_[batch.objects.empty() ? "watch, none"
                                                        : "watch, changes"];
      done(std::move(batch));
      return;
    }
    platform_->queue_->After(kPollInterval, [this, version, end, done] {
      Poll(version, end, done);
    });
  }

  FakePlatform* const platform_;
};

inline std::unique_ptr<FakePlatform::Client> FakePlatform::MakeClient() {
  return std::make_unique<Client>(this);
}

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_PLATFORM_H_
