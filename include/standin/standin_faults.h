#ifndef INCLUDE_STANDIN_STANDIN_FAULTS_H_
#define INCLUDE_STANDIN_STANDIN_FAULTS_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/units.h"

namespace papaya {

// Faults of one stand-in that can be switched on and off while it runs. Shares
// are of the requests to come. A fault that makes no sense for a role does
// nothing there.
struct StandinFaults {
  // Added before each answer begins.
  Duration delay{};
  // Engine: its prefill and decode steps take this many times as long.
  double slow_factor = 1.0;
  // Answered 500 after the request ran.
  Permille failing;
  // Accepted and run, and never answered.
  Permille hanging;
  // Accepted and run; the connection is cut in place of an answer, or of a
  // stream in its midst.
  Permille cutting;
  // Platform: writes take effect and the connection is cut.
  Permille lost_answers;
  // Platform: every call is answered 503. Others: every connection is cut.
  bool outage = false;
  // Age of load reports, cache events and the VM list.
  Duration report_lag{};
  // Engine: takes orders whatever their fencing number.
  bool ignore_fencing = false;
  // Engine and service: new work is answered 503 with `papaya-leaving`, and
  // reports say so.
  bool leaving = false;

  bool operator==(const StandinFaults&) const = default;
};

// Changes `faults` as the JSON object `text` says; keys that it leaves out stay
// as they are. Keys: delay_ms, slow_factor, failing_permille,
// hanging_permille, cutting_permille, lost_answers_permille, outage,
// report_lag_ms, ignore_fencing, leaving. Fails with kInvalidArgument, with
// nothing changed, on an unknown key or a value of the wrong type or range.
absl::Status ApplyFaultsJson(const std::string& text, StandinFaults& faults);

// All of `faults` as such an object.
std::string FaultsToJson(const StandinFaults& faults);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_STANDIN_FAULTS_H_
