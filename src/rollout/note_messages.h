#ifndef SRC_ROLLOUT_NOTE_MESSAGES_H_
#define SRC_ROLLOUT_NOTE_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/release_note.h"
#include "include/rollout/stop_fact.h"

namespace papaya {

// Texts that explain the progress of notes to operators.

// Returns the names as `a, b and c`.
std::string ListNames(const std::vector<PoolId>& pools);
std::string ListNames(const std::vector<UpstreamId>& upstreams);

// Returns why a version was stopped.
std::string DescribeStop(const StopFact& fact);

// Returns that stage `stage`, counted from 0, is in force and gives the new
// version `share` of the traffic.
std::string DescribeStage(int stage, size_t stages, Permille share);

// Returns that `traffic_by` was reached in stage `stage`, counted from 0.
std::string DescribeLateness(WallTime traffic_by, int stage, size_t stages);

// Returns that all traffic of `pools` has moved, judged over `requests`
// requests.
std::string DescribeMove(const std::vector<PoolId>& pools, uint64_t requests);

// Returns that all changes to `pools`, none of them judged, are in force.
std::string DescribeChange(const std::vector<PoolId>& pools);

// Returns what operators have to do about ejected upstreams; the text continues
// another one.
std::string DescribeEjected(const std::vector<UpstreamId>& upstreams);

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_MESSAGES_H_
