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

// The outcome of one call as its caller saw it.
enum class CallOutcome : uint8_t {
  kWhole,    // a complete and correct response
  kNotRun,   // reported as not run
  kUnknown,  // it is not known whether the request ran
  kFailed,   // reported as run and failed
  kWrong,    // a response of another request, or a corrupted one
  kCut,      // an incomplete response or none, and no way to resume
};

inline constexpr size_t kCallOutcomeCount = 6;

// Returns `whole`, `not_run`, `unknown`, `failed`, `wrong` or `cut`.
const char* CallOutcomeName(CallOutcome end);

// The result of one call.
struct CallResult {
  LoadKind kind = LoadKind::kChat;
  // Planned time of sending, relative to the start of the run.
  Duration at{};
  CallOutcome end = CallOutcome::kCut;
  // Key of a booking; empty for other calls.
  std::string key;
  // The version that sent the response; empty if there was no response.
  std::string version;
  // Time from sending to the first token; zero if it was not streamed.
  Duration first_token{};
  // Times between successive tokens of a stream.
  std::vector<Duration> gaps;
  // Number of attempts and resumptions after the first attempt.
  int retries = 0;
};

// Aggregates the results of all calls of a run.
class LoadTally {
 public:
  void Add(const CallResult& result);

  uint64_t Count(LoadKind kind, CallOutcome end) const;

  // The outcome of each booking, by key.
  const std::map<std::string, CallOutcome>& bookings() const {
    return bookings_;
  }

  // Returns the counts as one line of JSON:
  // `{"calls":n,"whole":n,"by_tier":{"critical":{"sent":n,"whole":n,…}},
  //   "retries":n,"versions":[{"second":0,"v1":n}],
  //   "first_token_ms":{"p50":x,"p95":x},"between_tokens_ms":{…}}`
  std::string ToJson() const;

 private:
  std::array<std::array<uint64_t, kCallOutcomeCount>, kAllLoadKinds.size()>
      counts_{};
  uint64_t retries_ = 0;
  std::map<std::string, CallOutcome> bookings_;
  // Number of responses to chats and reports, by the second in which the
  // requests were sent, then by version.
  std::map<int64_t, std::map<std::string, uint64_t>> versions_;
  std::vector<Duration> first_tokens_;
  std::vector<Duration> gaps_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LOAD_TALLY_H_
