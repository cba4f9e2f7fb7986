#ifndef SRC_ROLLOUT_EVIDENCE_VIEW_H_
#define SRC_ROLLOUT_EVIDENCE_VIEW_H_

#include <array>
#include <map>
#include <utility>

#include "include/base/ids.h"
#include "src/rollout/evidence.h"

namespace papaya {

// Evidence of one set of replicas: over all routes, and on each.
struct EvidenceView {
  // A quantity and a route; an empty route stands for all of them.
  using Part = std::pair<Quantity, RouteId>;

  // Natural log of the evidence over all parts.
  double Log() const;

  // The part with most evidence.
  Part MainPart() const;

  // The evidence on that part alone.
  double LogOf(const Part& part) const;

  std::array<EvidenceTrack, kQuantities> overall;
  std::map<RouteId, std::array<EvidenceTrack, kQuantities>> by_route;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_EVIDENCE_VIEW_H_
