#ifndef INCLUDE_STANDIN_LEDGER_CHECK_H_
#define INCLUDE_STANDIN_LEDGER_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/standin/load_tally.h"

namespace papaya {

// Compares what callers were told of their bookings with how often the
// stand-in services ran them.
struct LedgerCheck {
  // Confirmed and run once: as it must be.
  uint64_t once = 0;
  // Run more than once, whatever the caller was told.
  uint64_t repeated = 0;
  // Confirmed and never run.
  uint64_t confirmed_without_run = 0;
  // Told `not-run` and run all the same.
  uint64_t wrong_not_run = 0;

  // True if nothing is amiss.
  bool IsConsistent() const {
    return repeated + confirmed_without_run + wrong_not_run == 0;
  }

  bool operator==(const LedgerCheck&) const = default;
};

// `told` says how each booking ended for its caller; `runs` how often each key
// was run, over all services.
LedgerCheck CheckLedger(const std::map<std::string, CallOutcome>& outcomes,
                        const std::map<std::string, uint64_t>& runs);

// Adds the runs in `body`, a service's answer to `GET /ledger`, to `runs`.
// Fails with kInvalidArgument on any other text.
absl::Status AddLedger(const std::string& body,
                       std::map<std::string, uint64_t>& runs);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LEDGER_CHECK_H_
