#include "src/gateway/snapshot_pacer.h"

#include <algorithm>

namespace papaya {

namespace {

// Time between two snapshots, as a multiple of the cost of the first one.
constexpr int kCostFactor = 10;
constexpr Duration kMinInterval = std::chrono::milliseconds(20);
// Changes must be in force long before the platform's bounds for them, which
// are seconds.
constexpr Duration kMaxInterval = std::chrono::milliseconds(500);

}  // namespace

void SnapshotPacer::OnBuilt(TimePoint start, TimePoint end) {
  has_change_ = false;
  next_ =
      end + std::clamp((end - start) * kCostFactor, kMinInterval, kMaxInterval);
}

}  // namespace papaya
