#ifndef SRC_ROLLOUT_SUBSET_EVIDENCE_H_
#define SRC_ROLLOUT_SUBSET_EVIDENCE_H_

#include <array>
#include <map>
#include <utility>

#include "include/base/ids.h"
#include "src/rollout/evidence.h"

namespace papaya {

// Evidence of one set of replicas: over all routes, and on each.
struct SubsetEvidence {
  // A quantity and a route; an empty route stands for all of them.
  using Part = std::pair<Metric, RouteId>;

  // Natural log of the evidence over all parts.
  double LogEvidence() const;

  // The part with most evidence.
  Part StrongestPart() const;

  // The evidence on that part alone.
  double LogOf(const Part& part) const;

  std::array<EvidenceProcess, kMetrics> overall;
  std::map<RouteId, std::array<EvidenceProcess, kMetrics>> by_route;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_SUBSET_EVIDENCE_H_
