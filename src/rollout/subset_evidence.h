#ifndef SRC_ROLLOUT_SUBSET_EVIDENCE_H_
#define SRC_ROLLOUT_SUBSET_EVIDENCE_H_

#include <array>
#include <map>
#include <utility>

#include "include/base/ids.h"
#include "src/rollout/evidence.h"

namespace papaya {

// The evidence against one subset of a new version's replicas, over all routes
// and on each route.
struct SubsetEvidence {
  // A metric and a route; an empty route stands for all routes together.
  using Part = std::pair<Metric, RouteId>;

  // Returns the natural logarithm of the weighted mean of all parts.
  double LogEvidence() const;

  // Returns the part with the strongest evidence.
  Part StrongestPart() const;

  // Returns the natural logarithm of the evidence of `part` alone, or 0 if
  // there is none.
  double LogOf(const Part& part) const;

  std::array<EvidenceProcess, kMetrics> overall;
  std::map<RouteId, std::array<EvidenceProcess, kMetrics>> by_route;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_SUBSET_EVIDENCE_H_
