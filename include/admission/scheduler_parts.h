#ifndef INCLUDE_ADMISSION_SCHEDULER_PARTS_H_
#define INCLUDE_ADMISSION_SCHEDULER_PARTS_H_

namespace papaya {

// Parts of a Scheduler's policy. A measure leaves one out to show what it is
// worth; a router always has them all.
struct SchedulerParts {
  // Routers divide the slots of upstreams by tier. Without it each takes what
  // seems free to it.
  bool slot_division = true;
  // Streams of lower tiers are given up for requests of the highest one.
  bool preemption = true;
  // Accounts of one tier share by tokens. Without it requests go in the order
  // of their arrival.
  bool fair_sharing = true;
  // Retries are bounded to a share of live traffic.
  bool retry_budget = true;
  // Work past its deadline is refused.
  bool deadlines = true;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_PARTS_H_
