#ifndef INCLUDE_BASE_REQUEST_SPEC_H_
#define INCLUDE_BASE_REQUEST_SPEC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// All that decisions need to know of a request; its bytes stay with the
// connection that brought it.
struct RequestSpec {
  RequestId id;
  AccountId account;
  RouteId route;
  PoolId pool;
  Tier tier = Tier::kStandard;
  // Zero for requests to plain services.
  Tokens prompt_tokens;
  // The caller's own limit; zero if it set none.
  Tokens max_output_tokens;
  // The caller's own estimate of the answer's length.
  std::optional<Tokens> expected_output;
  // Chained hashes of the prompt's blocks, first block first; the n-th stands
  // for all of the prompt up to the end of block n.
  std::vector<uint64_t> prefix_hashes;
  // The tokens up to the end of each block; empty if all blocks are alike.
  std::vector<Tokens> prefix_ends;
  // Decides which version's share the request falls in. All routers agree.
  uint64_t share_hash = 0;
  TimePoint arrival;
  // Work not begun by then is of no use to the caller.
  TimePoint deadline;
  // Work not begun by then comes too late for its latency objective: it goes
  // after all that may still meet its own.
  TimePoint late_after = TimePoint::max();
  // The regions whose upstreams may get it; null if all may. An empty list
  // allows none.
  std::shared_ptr<const std::vector<RegionId>> allowed_regions;
  // False if it must not run twice.
  bool idempotent = true;
  // Upstreams at which it may run, one after the other.
  int max_runs = 4;
};

}  // namespace papaya

#endif  // INCLUDE_BASE_REQUEST_SPEC_H_
