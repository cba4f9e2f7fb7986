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
  // Lifetime of a lease, counted from before the write that took or renewed it
  // was sent.
  Duration length = std::chrono::seconds(15);
  // Interval between renewals by the holder.
  Duration renew_interval = std::chrono::seconds(4);
  // Interval between reads of the lease object by a candidate; spread by 30%.
  Duration poll_interval = std::chrono::seconds(4);
  // Added to `length` before another router's lease counts as expired, because
  // the clocks of two routers run at different rates.
  Duration margin = std::chrono::seconds(1);
};

// The lease that allows one router to run release notes: one object in the
// Object API, taken and renewed by conditional writes. The epoch grows with
// each change of holder and is the fencing number of orders to engines.
//
// Clocks of different routers are never compared. The holder counts the
// lifetime from before its own write was sent; a candidate counts from after it
// first read that write. The holder's lease therefore expires before another
// router may take it.
class NoteLease {
 public:
  // `store` must outlive the lease and its calls. `random` must outlive the
  // lease and spreads the reads of candidates. `owner` is unique to this run of
  // the process, such as `router-3#17`.
  NoteLease(ObjectStore* store,
            const std::string& prefix,
            const std::string& owner,
            const NoteLeaseOptions& options,
            Random* random);
  ~NoteLease();

  // Reads, takes or renews the lease when due; call about every 100 ms. Only a
  // candidate takes or renews the lease; a holder that is no longer a candidate
  // lets it expire.
  void OnTick(TimePoint now, bool is_candidate);

  // Returns true if this process certainly holds the lease until `time`, which
  // must not be in the past.
  bool HoldsUntil(TimePoint time) const;

  // Returns the epoch of the lease; empty unless this process certainly holds
  // the lease at `now`.
  std::optional<FencingNumber> HeldEpoch(TimePoint now) const;

  // Returns the owner in the last lease object that was read or written, for
  // status pages; empty if unknown.
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
  // Shared with the store callbacks, which do nothing after the lease is
  // destroyed.
  std::shared_ptr<State> state_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_LEASE_H_
