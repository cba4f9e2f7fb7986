#ifndef INCLUDE_ROUTING_UPSTREAM_REPORTS_H_
#define INCLUDE_ROUTING_UPSTREAM_REPORTS_H_

#include <cstdint>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// What an upstream said of its load; stale when it arrives.
struct LoadReport {
  // Requests being worked on, and waiting in the upstream, from all routers.
  int running = 0;
  int waiting = 0;
  // How long before its arrival the figures were taken.
  Duration age{};
  // The upstream accepts no new work.
  bool leaving = false;
};

// What a model engine said of its prefix cache; late, with gaps. Hashes are
// those of RequestSpec::prefix_hashes.
struct CacheEvent {
  std::vector<uint64_t> stored;
  std::vector<uint64_t> evicted;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_UPSTREAM_REPORTS_H_
