#ifndef SRC_ADMISSION_PEER_TABLE_H_
#define SRC_ADMISSION_PEER_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The latest DemandReport of each other router.
class PeerTable {
 public:
  // Reports expire `lifetime` after their arrival.
  explicit PeerTable(Duration lifetime) : lifetime_(lifetime) {}

  // Stores `report`. Returns false if a later report of that router is stored.
  // A report of an earlier incarnation is accepted once the stored one has
  // expired.
  bool Update(const DemandReport& report, TimePoint now);

  // Returns the report of `router`; null if there is none or it has expired.
  const DemandReport* Find(const RouterId& router, TimePoint now) const;

  // Calls `visit` with each report that has not expired.
  void ForEach(TimePoint now,
               const std::function<void(const DemandReport&)>& visit) const;

  // Removes reports that arrived more than ten lifetimes ago.
  void RemoveExpired(TimePoint now);

  size_t size() const { return peers_.size(); }

 private:
  // Reports of further routers are ignored.
  static constexpr size_t kMaxPeers = 512;

  struct Peer {
    DemandReport report;
    TimePoint arrival;
  };

  Duration lifetime_;
  // Ordered by name, so that the order of visits is the same in each run.
  std::map<RouterId, Peer> peers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_PEER_TABLE_H_
