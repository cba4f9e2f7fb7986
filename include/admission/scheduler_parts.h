#ifndef INCLUDE_ADMISSION_SCHEDULER_PARTS_H_
#define INCLUDE_ADMISSION_SCHEDULER_PARTS_H_

namespace papaya {

// Switches for the parts of a Scheduler's policy. Benchmarks disable a part to
// measure its effect. A router enables all of them.
struct SchedulerParts {
  // Routers divide the slots of upstreams by tier. Otherwise each router takes
  // any slot that appears free.
  bool slot_division = true;
  // Attempts of lower tiers are preempted for critical requests.
  bool preemption = true;
  // Accounts of one tier share slots by tokens. Otherwise requests run in order
  // of arrival.
  bool fair_sharing = true;
  // Retries are limited to a ratio of live traffic.
  bool retry_budget = true;
  // Requests past their deadline are rejected.
  bool deadlines = true;

  // Prompt tokens that an upstream has cached do not count as prefill work.
  bool prefix_affinity = true;
  // Each uncached prompt token has a cost in addition to its prefill time.
  bool uncached_token_cost = true;
  // Taking one of the last free slots of an upstream has a cost.
  bool crowding_cost = true;
  // Speeds are observed. Otherwise all upstreams are assumed to be equally
  // fast.
  bool observed_speed = true;
  // Observations of one upstream also count for other upstreams of its kind,
  // which have the same pool, version and generation.
  bool kind_speed = true;
  // Prompts of other routers that are outstanding at an upstream count as work
  // ahead of the request.
  bool peer_prefill = true;
  // Output lengths are learned. Otherwise all answers are assumed to be equally
  // long.
  bool output_length = true;
  // The time after the first token counts with a small weight.
  bool decode_time = true;
  // Upstreams slower than others of their kind are ejected.
  bool straggler_detection = true;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_PARTS_H_
