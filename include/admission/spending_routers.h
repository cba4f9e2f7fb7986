#ifndef INCLUDE_ADMISSION_SPENDING_ROUTERS_H_
#define INCLUDE_ADMISSION_SPENDING_ROUTERS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The routers that share the quotas of client accounts: those that run as far
// as this router knows, and those that were known lately and cannot be reached.
// The latter may be on the other side of a partition and go on spending, so
// their shares are taken off what this side may grant. Does no I/O and reads no
// clock. Not thread-safe.
class SpendingRouters {
 public:
  struct Options {
    RouterId self;
    // True if the fleet starts for the first time, so nothing was spent before.
    bool is_first_start = true;
    // How long a router that cannot be reached counts. A dead router cannot be
    // told from a partitioned one, so this is the longest partition for which
    // the quotas hold. It is the time after which Membership forgets the dead.
    Duration unreachable_time = std::chrono::minutes(30);
  };

  SpendingRouters(const Options& options, TimePoint now);

  // Sets the running routers; this router is added if it is missing. Returns
  // false if they are the same as before.
  bool Set(const std::vector<RouterId>& routers, TimePoint now);
  // Forgets routers that could not be reached for `unreachable_time`.
  void Forget(TimePoint now);

  // Returns the running router with the largest hash of its name and the
  // account's.
  const RouterId& FindOwner(const AccountId& account) const;

  // Number of routers known lately.
  size_t known() const { return running_.size() + unreachable_.size(); }
  bool IsUnreachable(const RouterId& router) const {
    return unreachable_.contains(router);
  }

  // True shortly after a restart, while other running routers may not have been
  // discovered and none is known.
  bool MayBeAlone(TimePoint now) const;
  // Number of routers that may be spending, discovered or not, and of those
  // among them that can be reached.
  double Count(TimePoint now) const;
  double CountReachable(TimePoint now) const {
    return Count(now) - static_cast<double>(unreachable_.size());
  }
  // The running routers as a fraction of those known lately.
  double ReachableFraction() const;
  // The fraction of each quota that the running routers together may grant.
  double Share(TimePoint now) const;

 private:
  bool MayMissOthers(TimePoint now) const;

  const Options options_;
  const TimePoint started_;
  std::vector<RouterId> running_;
  // The time when each router was removed from the running ones.
  std::map<RouterId, TimePoint> unreachable_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SPENDING_ROUTERS_H_
