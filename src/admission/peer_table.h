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
  // Reports count for `lifetime` after their arrival.
  explicit PeerTable(Duration lifetime) : lifetime_(lifetime) {}

  // Takes in `report`; false if a later one of that router is here already. One
  // of an earlier incarnation counts once the later one has fallen silent.
  bool Update(const DemandReport& report, TimePoint now);

  // The report of `router`; null if there is none or it is too old.
  const DemandReport* Find(const RouterId& router, TimePoint now) const;

  // Calls `visit` with each report that is not too old.
  void ForEach(TimePoint now,
               const std::function<void(const DemandReport&)>& visit) const;

  // Drops reports of routers that were silent for ten lifetimes.
  void RemoveExpired(TimePoint now);

  size_t size() const { return peers_.size(); }

 private:
  // Reports of more routers than this are passed over.
  static constexpr size_t kMaxPeers = 512;

  struct Peer {
    DemandReport report;
    TimePoint arrival;
  };

  Duration lifetime_;
  // In the order of names, so that visits do not differ between runs.
  std::map<RouterId, Peer> peers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_PEER_TABLE_H_
