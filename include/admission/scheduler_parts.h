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

  // Upstreams that hold a prompt's prefix are known to have less to do.
  bool prefix_affinity = true;
  // Each uncached token costs something besides its time.
  bool uncached_token_cost = true;
  // The last free slots of an upstream cost something.
  bool crowding_cost = true;
  // Speeds are observed. Without it all upstreams are taken to be alike.
  bool observed_speed = true;
  // What an upstream shows of its speed counts for its kind, too.
  bool kind_speed = true;
  // Prompts that other routers have outstanding at an upstream count.
  bool peer_prefill = true;
  // The length of answers is learnt. Without it all are taken to be alike.
  bool output_length = true;
  // The time after the first token counts a little.
  bool decode_time = true;
  // Upstreams slower than their kind are set aside.
  bool straggler_detection = true;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_PARTS_H_
