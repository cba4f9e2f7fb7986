#ifndef INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_
#define INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_

#include <cstddef>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// The observations of one upstream that straggler detection uses.
struct StragglerCandidate {
  // Identifies the kind of the upstream. Upstreams of one generation, pool and
  // version are of the same kind and should be equally fast.
  int kind = 0;
  // Recently observed seconds per output token; 0 if unknown.
  double seconds_per_token = 0.0;
  // Long-term seconds per output token of this upstream; 0 if unknown.
  double long_term_seconds_per_token = 0.0;
  // Another router has ejected the upstream.
  bool suspected_by_peer = false;
};

// The ejection state of one upstream, with the times that hysteresis needs.
struct StragglerState {
  bool ejected = false;
  TimePoint ejected_since;
  // When the upstream began to look slow; the epoch if it does not look slow.
  TimePoint slow_since;
};

// Ejects upstreams that are slower than others of their own kind. An upstream
// is ejected once it has taken more than kSlowFactor times as long per token as
// its kind for kMinSlowTime, and returns when it takes less than
// kRecoveredFactor times as long. For an upstream that another router has
// ejected, kRecoveredFactor is also the limit for ejection. At most a third of
// a group is ejected at once.
class StragglerDetector {
 public:
  static constexpr double kSlowFactor = 1.8;
  static constexpr double kRecoveredFactor = 1.35;
  static constexpr Duration kMinSlowTime = std::chrono::milliseconds(750);

  // The maximum number of ejected upstreams in a group of `size` upstreams.
  static size_t MaxEjected(size_t size) { return size / 3; }

  // Updates the states of the upstreams of one group. `candidates` and `states`
  // list the same upstreams in the same order.
  static void Update(const std::vector<StragglerCandidate>& candidates,
                     TimePoint now,
                     std::vector<StragglerState*>* states);
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_STRAGGLER_DETECTOR_H_
