#ifndef INCLUDE_STANDIN_STANDIN_FAULTS_H_
#define INCLUDE_STANDIN_STANDIN_FAULTS_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/units.h"

namespace papaya {

// Injected faults of one stand-in, which can be changed while it runs. Shares
// apply to the requests that follow. Faults that do not apply to a role have no
// effect there.
struct StandinFaults {
  // Delay before each request is handled.
  Duration delay{};
  // Engine: multiplies the duration of prefill and decode steps. Service:
  // multiplies the duration of calls.
  double slow_factor = 1.0;
  // Share of requests that run and get status 500. Platform: these requests do
  // not run and get status 503.
  Permille failing;
  // Share of requests that run but get no response. Platform: these requests do
  // not run.
  Permille hanging;
  // Share of requests that run but whose connection is closed instead of a
  // response, or in the middle of a stream. Platform: these requests do not
  // run.
  Permille cutting;
  // Platform: share of writes that take effect but whose connection is closed
  // instead of a response.
  Permille lost_answers;
  // Platform: every call gets status 503. Other roles: every connection is
  // closed without a response.
  bool outage = false;
  // Age of the load reports, cache events and VM lists that are returned.
  Duration report_lag{};
  // Engine: accepts orders with any fencing number.
  bool ignore_fencing = false;
  // Engine and service: new requests get status 503 with the header
  // `papaya-leaving`, and load reports contain the state `leaving`.
  bool leaving = false;

  bool operator==(const StandinFaults&) const = default;
};

// Sets the faults that the JSON object `text` contains and leaves the others
// unchanged. Keys: delay_ms, slow_factor, failing_permille, hanging_permille,
// cutting_permille, lost_answers_permille, outage, report_lag_ms,
// ignore_fencing, leaving. On an unknown key or a value of the wrong type or
// range, changes nothing and fails with kInvalidArgument.
absl::Status ApplyFaultsJson(const std::string& text, StandinFaults& faults);

// Returns all of `faults` in the format that ApplyFaultsJson reads.
std::string FaultsToJson(const StandinFaults& faults);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_STANDIN_FAULTS_H_
