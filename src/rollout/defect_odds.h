#ifndef SRC_ROLLOUT_DEFECT_ODDS_H_
#define SRC_ROLLOUT_DEFECT_ODDS_H_

#include <vector>

#include "include/rollout/version_stats.h"

namespace papaya {

// Responses of one route to compare.
struct RouteCounts {
  StatsCounts old_version;
  // One entry for each upstream of the new version.
  std::vector<StatsCounts> new_upstreams;
};

// Returns the natural logarithm of the odds that a new version is defective
// rather than as good as the old one, with even odds before any response.
//
// A defective version fails a part of its responses, or takes several times as
// long for them; it may do so on one route only. Each possible defect predicts
// how the new version's responses are distributed, given those of the old
// version. The result is the mean, over the defects, of the likelihood ratio
// against "no defect". Few responses leave it near 0: unlike a test that looks
// for evidence against a version, it tells a version that is shown to be good
// from one that has hardly been tried.
//
// VMs differ in speed. `speed_spread` is the standard deviation of the
// logarithm of their speeds; each new upstream is taken to have an unknown
// speed, so that slowness counts only if it can't be that of the VM.
//
// The latencies of the new version are counted multiplied by
// `new_latency_scale`.
double LogDefectOdds(const std::vector<RouteCounts>& routes,
                     double speed_spread,
                     double new_latency_scale);

}  // namespace papaya

#endif  // SRC_ROLLOUT_DEFECT_ODDS_H_
