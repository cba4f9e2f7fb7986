#ifndef INCLUDE_ADMISSION_SCHEDULER_OPTIONS_H_
#define INCLUDE_ADMISSION_SCHEDULER_OPTIONS_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "include/admission/placement_weights.h"
#include "include/admission/retry_budget_options.h"
#include "include/admission/scheduler_parts.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

class UpstreamLimiter;
class WarmupLimiter;

// Configuration of a Scheduler.
struct SchedulerOptions {
  RouterId router;
  Incarnation incarnation;
  // Weights of accounts in fair sharing within a tier; 1 if not listed.
  absl::flat_hash_map<AccountId, int> account_weights;
  // Limit of waiting requests over all pools and tiers.
  size_t max_queued = 4096;
  // Minimum interval between two demand reports.
  Duration report_interval = std::chrono::milliseconds(250);
  // Average bytes a second that demand reports may take. A router may spend 15
  // KiB a second on control messages, and this is what membership leaves of it.
  Bytes report_budget{6 * 1024};
  // Reports of other routers older than this are ignored.
  Duration report_lifetime = std::chrono::seconds(3);
  // If false, slots are not divided in groups whose engines are used by more
  // routers than they have slots. There a router's share is less than one slot,
  // and a slot that is granted by a report of another router stays free if that
  // router has no request by then. Each router then takes any slot that appears
  // free.
  bool divides_scarce_slots = true;
  // Retry budget of each pool.
  RetryBudgetOptions retries;
  PlacementWeights placement;
  SchedulerParts parts;
  // Limits the requests to cold upstreams. Must outlive the Scheduler; null for
  // no limit.
  WarmupLimiter* warmup = nullptr;
  // Limits the requests to upstreams that have named a limit; may be null. Must
  // outlive the scheduler.
  UpstreamLimiter* limiter = nullptr;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_OPTIONS_H_
