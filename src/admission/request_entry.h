#ifndef SRC_ADMISSION_REQUEST_ENTRY_H_
#define SRC_ADMISSION_REQUEST_ENTRY_H_

#include <algorithm>
#include <cstdint>
#include <list>

#include "include/base/request_spec.h"
#include "include/base/units.h"

namespace papaya {

// One request in the hands of a Scheduler: waiting, or in one attempt.
struct RequestEntry {
  RequestSpec spec;
  // Position of its account in the table of accounts.
  int32_t account = 0;
  int32_t account_weight = 1;
  // Position of its group in the table of groups.
  int32_t group = 0;
  Tokens expected_output;
  // What it is charged in the fair division, in tokens.
  double cost = 0.0;

  bool is_running = false;
  // It can't meet its latency objective any more.
  bool is_late = false;
  // Set while waiting: its place in the queue of its account.
  std::list<RequestEntry*>::iterator queue_place;

  // Of the attempt under way, if is_running.
  int32_t upstream = -1;
  TimePoint dispatched;
  // Prompt tokens that the upstream has to work through for it, and those of
  // others that it had ahead of them.
  double prefill_tokens = 0.0;
  double prefill_ahead = 0.0;
  bool has_first_token = false;
  Tokens tokens_seen;
  TimePoint tokens_time;
  bool is_preempting = false;
  // Its slot is not to be used again by this router.
  bool yields_slot = false;
  // When it was dispatched, or a slot given up for it since it seemed to be
  // queued by its upstream.
  TimePoint stuck_since;

  // Of all attempts.
  int attempts = 0;
  // Attempts that may have begun.
  int runs = 0;
  // An earlier attempt may have begun.
  bool may_have_run = false;

  // What it is charged for `output` tokens.
  double CostOf(Tokens output) const {
    // A prompt token's part in the cost, an output token's being 1.
    constexpr double kPromptCost = 0.1;
    const double prompt = static_cast<double>(spec.prompt_tokens.value());
    const double tokens = static_cast<double>(output.value());
    return std::max(1.0, kPromptCost * prompt + tokens);
  }

  // True if its attempt may be cancelled and begun again.
  bool IsPreemptible() const {
    return is_running && spec.idempotent && !is_preempting;
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_REQUEST_ENTRY_H_
