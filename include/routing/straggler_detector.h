#ifndef INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_
#define INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_

#include <cstddef>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// What is known of one upstream when stragglers are looked for.
struct StragglerCandidate {
  // Names the kind: upstreams of one generation, pool and version are alike.
  int kind = 0;
  // Seconds per output token, as seen lately; 0 if not known.
  double seconds_per_token = 0.0;
  // What upstreams of the kind took over a long time; 0 if not known.
  double usual_seconds_per_token = 0.0;
  // Some other router has set it aside.
  bool suspected_by_peer = false;
};

// Whether one upstream is set aside, with the memory that hysteresis needs.
struct StragglerState {
  bool ejected = false;
  TimePoint ejected_since;
  // When it began to look slow; zero if it does not.
  TimePoint slow_since;
};

// Finds upstreams that are slower than others of their own kind. An upstream
// is set aside once it has taken kSlowFactor times as long as its kind for
// kSlowTime, and comes back when it takes less than kRecoveredFactor times as
// long. Never more than a third of a group is set aside at once.
class StragglerDetector {
 public:
  static constexpr double kSlowFactor = 1.8;
  static constexpr double kRecoveredFactor = 1.35;
  static constexpr Duration kSlowTime = std::chrono::milliseconds(750);

  // The most that may be set aside in a group of `size` upstreams.
  static size_t Cap(size_t size) { return size / 3; }

  // Brings `states`, of the upstreams of one group, up to date. Both vectors
  // must be equally long.
  static void Update(const std::vector<StragglerCandidate>& candidates,
                     TimePoint now,
                     std::vector<StragglerState*>* states);
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_
