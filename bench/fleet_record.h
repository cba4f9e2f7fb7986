#ifndef BENCH_FLEET_RECORD_H_
#define BENCH_FLEET_RECORD_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "include/admission/attempt_result.h"
#include "include/base/request_spec.h"
#include "include/base/units.h"

namespace papaya::bench {

// What became of one request.
struct FleetRecord {
  RequestSpec spec;
  Tokens output;
  size_t router = 0;
  std::vector<size_t> dispatched;  // engines
  std::vector<TimePoint> dispatch_times;
  int begins = 0;
  int ends = 0;
  std::optional<TimePoint> began;
  std::optional<TimePoint> first_token;
  std::optional<TimePoint> answered;
  std::optional<Rejection> refusal;
  // Its router died with it.
  bool is_lost = false;
  // It was refused while a lower tier was being served in its pool.
  bool is_shed_before_lower = false;

  bool IsGood() const {
    return answered.has_value() && began.has_value() && *began <= spec.deadline;
  }
  // Tokens that the answer is worth, as in the division between accounts.
  double Value() const {
    return 0.1 * static_cast<double>(spec.prompt_tokens.value()) +
           static_cast<double>(output.value());
  }
};

}  // namespace papaya::bench

#endif  // BENCH_FLEET_RECORD_H_
