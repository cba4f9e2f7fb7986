#ifndef INCLUDE_STANDIN_LEDGER_CHECK_H_
#define INCLUDE_STANDIN_LEDGER_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/standin/load_tally.h"

namespace papaya {

// Result of comparing the outcomes that callers received for their bookings
// with the number of times that the stand-in services ran them.
struct LedgerCheck {
  // Bookings that were confirmed and run once, as required.
  uint64_t once = 0;
  // Bookings that were run more than once, with any outcome.
  uint64_t repeated = 0;
  // Bookings that were confirmed but never run.
  uint64_t confirmed_without_run = 0;
  // Bookings that were reported as `not-run` but were run.
  uint64_t wrong_not_run = 0;

  // Returns true if no booking contradicts its outcome.
  bool IsConsistent() const {
    return repeated + confirmed_without_run + wrong_not_run == 0;
  }

  bool operator==(const LedgerCheck&) const = default;
};

// Compares the outcome of each booking with its number of runs over all
// services. Both maps are keyed by the key of the booking.
LedgerCheck CheckLedger(const std::map<std::string, CallOutcome>& outcomes,
                        const std::map<std::string, uint64_t>& runs);

// Adds the runs in `body`, the response of a service to `GET /ledger`, to
// `runs`. Fails with kInvalidArgument on any other text.
absl::Status AddLedger(const std::string& body,
                       std::map<std::string, uint64_t>& runs);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LEDGER_CHECK_H_
