#ifndef INCLUDE_GATEWAY_QUARANTINE_ARCHIVE_H_
#define INCLUDE_GATEWAY_QUARANTINE_ARCHIVE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/admission/crash_messages.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/platform_store.h"
#include "include/telemetry/event.h"

namespace papaya {

// Keeps quarantines in the platform's store, so that they outlive a restart of
// all routers at once. Running routers learn of quarantines from each other.
//
// A router reads the store once, when it starts. With Hooks::is_fed, that read
// may be some seconds old, and those routers that others do not feed read again
// a little later; news of quarantines spreads from them. Two routers, chosen by
// rendezvous hash, write a quarantine that has begun, so that a dead one does
// not lose it. All quarantines are in one object, which is replaced under its
// version; entries that are over are left out. Times in it are wall-clock times
// of the writers, whose errors of a few seconds do not matter to quarantines of
// a minute or more. Single-threaded.
class QuarantineArchive {
 public:
  static constexpr size_t kWriters = 2;
  // Interval between two attempts to read or write.
  static constexpr Duration kRetryInterval = std::chrono::seconds(1);
  // Failed writes in a row after which the archive gives up until the next
  // quarantine begins.
  static constexpr int kMaxFailures = 10;
  // Time from a first read that may be old to the complete one. By then the
  // routers have discovered each other.
  static constexpr Duration kSecondReadDelay = std::chrono::seconds(3);

  struct Hooks {
    // Quarantines that were read, as news of them.
    std::function<void(const CrashNews&)> restore;
    // Returns the quarantines of this router.
    std::function<std::vector<PartNews>()> current;
    std::function<WallTime()> wall_time;
    // True if other routers of a large fleet read the store, so that this one
    // needs no complete read. Empty if the first read is to be complete.
    std::function<bool()> is_fed;
    EventHook event;
  };

  // `store` must outlive the archive. `kind` is the kind of its object.
  QuarantineArchive(const RouterId& self,
                    PlatformStore* store,
                    std::string kind,
                    Hooks hooks);
  ~QuarantineArchive();

  // A quarantine has begun on this router, one of the running `routers`.
  void OnBegun(PromptPartId part, const std::vector<RouterId>& routers);

  // The store has come back from an older copy: the quarantines of this router
  // are written again. `routers` are the running ones.
  void OnStoreRestored(const std::vector<RouterId>& routers);

  // Call every 100 ms.
  void OnTick(TimePoint now);

 private:
  // The stored quarantines, with the object that holds them.
  struct Stored {
    // Its version is 0 if it does not exist.
    PlatformObject object;
    std::vector<PartNews> parts;
  };

  void Read(bool is_stale);
  void OnRead(const absl::StatusOr<ObjectBatch>& batch);
  // Writes what is missing in `stored`, if anything.
  void Write(const Stored& stored);
  void Put(const PlatformObject& object, const std::vector<PartNews>& parts);
  void Finish(const absl::Status& status);
  Stored Find(const ObjectBatch& batch) const;

  const RouterId self_;
  PlatformStore* const store_;
  const std::string kind_;
  const Hooks hooks_;
  bool has_read_ = false;
  // The first read was old, and its end.
  bool is_second_due_ = false;
  TimePoint second_read_;
  bool is_write_due_ = false;
  bool is_busy_ = false;
  int failures_ = 0;
  TimePoint next_try_;
  // Expires with this object, so that late answers of the store are ignored.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_QUARANTINE_ARCHIVE_H_
