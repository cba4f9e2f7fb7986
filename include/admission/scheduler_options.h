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

// What a Scheduler is set up with.
struct SchedulerOptions {
  RouterId router;
  Incarnation incarnation;
  // Weights in the division between accounts of one tier; 1 if not listed.
  absl::flat_hash_map<AccountId, int> account_weights;
  // Requests that may wait at once, of all pools and tiers.
  size_t max_queued = 4096;
  // Time between two demand reports, at least.
  Duration report_interval = std::chrono::milliseconds(250);
  // What demand reports may take a second on the average: what membership
  // leaves of the 15 KiB a second that a router has for control.
  Bytes report_budget{6 * 1024};
  // A peer's report older than this counts for nothing.
  Duration report_lifetime = std::chrono::seconds(3);
  // Of each pool.
  RetryBudgetOptions retries;
  PlacementWeights placement;
  SchedulerParts parts;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_OPTIONS_H_
