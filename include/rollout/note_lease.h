#ifndef INCLUDE_ROLLOUT_NOTE_LEASE_H_
#define INCLUDE_ROLLOUT_NOTE_LEASE_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/object_store.h"

namespace papaya {

struct NoteLeaseOptions {
  // How long a lease lasts from the moment its write was begun.
  Duration length = std::chrono::seconds(15);
  // The holder renews this often.
  Duration renew_interval = std::chrono::seconds(4);
  // A candidate looks this often.
  Duration poll_interval = std::chrono::seconds(4);
  // Added to `length` before another's lease counts as lapsed, for clocks that
  // run at different rates.
  Duration margin = std::chrono::seconds(1);
};

// The right to carry out release notes: one object in the Object API, taken and
// renewed by conditional updates. Its epoch grows with each change of holder
// and is the fencing number of orders.
//
// Clocks of routers are never compared. The holder counts from before its own
// write was sent; a candidate counts from when it first saw the write. So the
// holder stops being sure before anybody else may take over.
class NoteLease {
 public:
  // `store` must outlive the lease and its calls. `random` spreads candidates'
  // looks. `owner` is unique to this process's run, as `router-3#17`.
  NoteLease(ObjectStore* store,
            const std::string& prefix,
            const std::string& owner,
            const NoteLeaseOptions& options,
            Random* random);
  ~NoteLease();

  // Looks, takes and renews as `now` demands; call every 100 ms or so. Only
  // candidates take the lease; a holder that is none any more lets it lapse.
  void OnTick(TimePoint now, bool is_candidate);

  // True if the lease is certainly ours until `time`, which is not before now.
  bool HoldsUntil(TimePoint time) const;

  // Our epoch; empty if we were never sure of it or it has lapsed at `now`.
  std::optional<FencingNumber> HeldEpoch(TimePoint now) const;

  // Who has the lease as last seen, for status; empty if unknown.
  std::string seen_owner() const;

 private:
  struct State;

  void ReadLease(TimePoint now);
  void Write(TimePoint now, FencingNumber epoch);
  void OnLeaseRead(const absl::StatusOr<StoredObject>& object);
  void OnWritten(const absl::StatusOr<ObjectVersion>& version);
  void TryAcquire(TimePoint now);

  ObjectStore* const store_;
  const std::string key_;
  const std::string owner_;
  const NoteLeaseOptions options_;
  Random* const random_;
  // Shared with callbacks, which do nothing once the lease is gone.
  std::shared_ptr<State> state_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_LEASE_H_
