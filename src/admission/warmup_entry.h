#ifndef SRC_ADMISSION_WARMUP_ENTRY_H_
#define SRC_ADMISSION_WARMUP_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "include/admission/warmup_limiter.h"
#include "include/config/fleet_config.h"
#include "src/admission/warmup_plan.h"

namespace papaya {

// What a WarmupLimiter knows of one registered upstream.
struct WarmupLimiter::Entry {
  UpstreamSpec spec;
  std::shared_ptr<ColdGate> gate = std::make_shared<ColdGate>();
  WarmupRate rate;
  WarmupPlan plan;
  bool is_used = false;
  std::optional<TimePoint> unregistered_since;

  // It is cold, or was at the last call of Refresh.
  bool is_cold = false;
  // It was presumed cold and has not answered since.
  bool is_presumed = false;
  TimePoint presumed_since;
  // It has reported cold time since it was last presumed cold, so that a report
  // of zero is later than the outage.
  bool has_reported = false;
  // This router uses it so recently that it may have missed an outage.
  bool is_unverified = false;
  TimePoint last_failure;
  TimePoint last_answer;
  // No request before this time, as this router has just sent its full load.
  TimePoint paused_until;
  // The next request of a router that is no warmer while the upstream is
  // presumed cold, and the time between two of them.
  TimePoint trial_at;
  Duration trial_interval{};

  // IsWarmer for this version of the known routers.
  uint64_t routers_version = 0;
  size_t warmer_count = 0;
  bool is_warmer = false;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_WARMUP_ENTRY_H_
