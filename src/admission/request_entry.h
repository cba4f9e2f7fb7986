#ifndef SRC_ADMISSION_REQUEST_ENTRY_H_
#define SRC_ADMISSION_REQUEST_ENTRY_H_

#include <algorithm>
#include <cstdint>
#include <list>

#include "include/base/request_spec.h"
#include "include/base/units.h"

namespace papaya {

// A request that a Scheduler holds, either waiting or in one attempt.
struct RequestEntry {
  RequestSpec spec;
  // Index of its account in the table of accounts.
  int32_t account = 0;
  int32_t account_weight = 1;
  // Index of its group in the table of groups.
  int32_t group = 0;
  Tokens expected_output;
  // Charge in fair sharing, in tokens.
  double cost = 0.0;

  bool is_running = false;
  // It can no longer meet its latency objective.
  bool is_late = false;
  // Position in the queue of its account; set while waiting.
  std::list<RequestEntry*>::iterator queue_place;

  // Fields of the current attempt, valid if is_running.
  int32_t upstream = -1;
  TimePoint dispatched;
  // Prompt tokens that the upstream has to prefill for this request, and prompt
  // tokens of other requests that were ahead of it.
  double prefill_tokens = 0.0;
  double prefill_ahead = 0.0;
  bool has_first_token = false;
  Tokens tokens_seen;
  TimePoint tokens_time;
  bool is_preempting = false;
  // This router must not use the attempt's slot again after the preemption.
  bool yields_slot = false;
  // Time of dispatch, or of the last preemption made for it because it seemed
  // to be queued at its upstream.
  TimePoint stuck_since;

  // Number of attempts.
  int attempts = 0;
  // Number of attempts that may have begun.
  int runs = 0;
  // An earlier attempt may have begun.
  bool may_have_run = false;

  // Returns the charge for an output of `output` tokens.
  double CostOf(Tokens output) const {
    // Cost of a prompt token; an output token costs 1.
    constexpr double kPromptCost = 0.1;
    const double prompt = static_cast<double>(spec.prompt_tokens.value());
    const double tokens = static_cast<double>(output.value());
    return std::max(1.0, kPromptCost * prompt + tokens);
  }

  // True if its attempt may be cancelled and started again.
  bool IsPreemptible() const {
    return is_running && spec.idempotent && !is_preempting;
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_REQUEST_ENTRY_H_
