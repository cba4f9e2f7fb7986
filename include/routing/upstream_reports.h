#ifndef INCLUDE_ROUTING_UPSTREAM_REPORTS_H_
#define INCLUDE_ROUTING_UPSTREAM_REPORTS_H_

#include <cstdint>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// The load that an upstream reported; already stale on arrival.
struct LoadReport {
  // Requests from all routers that run in the upstream and that wait in it.
  int running = 0;
  int waiting = 0;
  // Time between the measurement and the arrival of the report.
  Duration age{};
  // The upstream accepts no new work.
  bool leaving = false;
};

// Changes of its prefix cache that a model engine reported. Events arrive late
// and some are lost. Hashes are those of RequestSpec::prefix_hashes.
struct CacheEvent {
  std::vector<uint64_t> stored;
  std::vector<uint64_t> evicted;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_UPSTREAM_REPORTS_H_
