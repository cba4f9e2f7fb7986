#ifndef INCLUDE_BASE_OUTCOME_H_
#define INCLUDE_BASE_OUTCOME_H_

#include <cstdint>

namespace papaya {

// What became of a request at the upstreams, as told to its caller.
enum class Outcome : uint8_t {
  kNotRun,   // no upstream has begun it, and none will
  kRan,      // an upstream ran it and answered
  kUnknown,  // it was handed to an upstream whose answer is not known
};

// The value of the `papaya-outcome` response header: `not-run`, `ran` or
// `unknown`.
const char* OutcomeName(Outcome outcome);

}  // namespace papaya

#endif  // INCLUDE_BASE_OUTCOME_H_
