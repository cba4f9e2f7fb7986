#ifndef INCLUDE_STANDIN_LOAD_TALLY_H_
#define INCLUDE_STANDIN_LOAD_TALLY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/standin/load_plan.h"

namespace papaya {

// How one call ended for its caller.
enum class CallOutcome : uint8_t {
  kWhole,    // the whole answer, and the caller's own
  kNotRun,   // told that it was not run
  kUnknown,  // told that this is not known
  kFailed,   // told that it ran and failed
  kWrong,    // an answer that was not the caller's own, or a changed one
  kCut,      // a part of the answer, or nothing, with no way to go on
};

inline constexpr size_t kCallOutcomeCount = 6;

// `whole`, `not_run`, `unknown`, `failed`, `wrong` or `cut`.
const char* CallOutcomeName(CallOutcome end);

// What came of one call.
struct CallResult {
  LoadKind kind = LoadKind::kChat;
  // When it was sent, from the start of the run.
  Duration at{};
  CallOutcome end = CallOutcome::kCut;
  // Of a booking.
  std::string key;
  // The version that answered; empty if none did.
  std::string version;
  // From sending to the first token; zero if it was not streamed.
  Duration first_token{};
  // Between the tokens of a stream.
  std::vector<Duration> gaps;
  // Attempts and resumptions beyond the first.
  int retries = 0;
};

// Counts the calls of a run.
class LoadTally {
 public:
  void Add(const CallResult& result);

  uint64_t Count(LoadKind kind, CallOutcome end) const;

  // How each booking ended, by key.
  const std::map<std::string, CallOutcome>& bookings() const {
    return bookings_;
  }

  // The counts in one line of JSON:
  // `{"calls":n,"whole":n,"by_tier":{"critical":{"sent":n,"whole":n,…}},
  //   "retries":n,"versions":[{"second":0,"v1":n}],
  //   "first_token_ms":{"p50":x,"p95":x},"between_tokens_ms":{…}}`
  std::string ToJson() const;

 private:
  std::array<std::array<uint64_t, kCallOutcomeCount>, kAllLoadKinds.size()>
      counts_{};
  uint64_t retries_ = 0;
  std::map<std::string, CallOutcome> bookings_;
  // Answers of each version by the second in which they were sent, of chats
  // and reports.
  std::map<int64_t, std::map<std::string, uint64_t>> versions_;
  std::vector<Duration> first_tokens_;
  std::vector<Duration> gaps_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LOAD_TALLY_H_
