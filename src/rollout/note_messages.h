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

// What operators are told of their notes, in plain words.

// `a, b and c`.
std::string ListNames(const std::vector<PoolId>& pools);
std::string ListNames(const std::vector<UpstreamId>& upstreams);

// Why a version was stopped.
std::string DescribeStop(const StopFact& fact);

// That stage `stage`, counted from 0, began and gives the new version `share`.
std::string DescribeStage(int stage, size_t stages, Permille share);

// That the time was over in stage `stage`.
std::string DescribeLateness(WallTime traffic_by, int stage, size_t stages);

// That all traffic of judged versions has moved.
std::string DescribeMove(const std::vector<PoolId>& pools, uint64_t requests);

// That changes without a judged version are in force.
std::string DescribeChange(const std::vector<PoolId>& pools);

// What is left to do for upstreams that were set aside; follows another text.
std::string DescribeEjected(const std::vector<UpstreamId>& upstreams);

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_MESSAGES_H_
