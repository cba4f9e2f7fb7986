#ifndef INCLUDE_STANDIN_LOAD_PLAN_H_
#define INCLUDE_STANDIN_LOAD_PLAN_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/random.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// The kinds of requests in the generated load.
enum class LoadKind : uint8_t { kChat, kReport, kBooking };

inline constexpr std::array<LoadKind, 3> kAllLoadKinds = {
    LoadKind::kChat, LoadKind::kReport, LoadKind::kBooking};

// Returns `chat`, `report` or `booking`.
const char* LoadKindName(LoadKind kind);

// Returns the tier that the settings of the deployments assign to `kind`.
Tier TierOfLoadKind(LoadKind kind);

struct LoadOptions {
  // Addresses of the routers for callers.
  std::vector<std::string> routers;
  // Bearer token of the client account.
  std::string token;
  // Part of all booking keys. Must differ between runs, so that they do not
  // share keys.
  std::string run = "run";
  uint64_t seed = 1;
  // Requests per second, indexed by LoadKind.
  std::array<double, kAllLoadKinds.size()> rates = {10, 1, 5};
  // Duration over which requests are sent.
  Duration duration = std::chrono::seconds(10);
  std::string chat_model = "assistant";
  std::string report_model = "assistant";
  // Value of the header `papaya-route` of reports.
  std::string report_route = "plan";
  std::string booking_path = "/svc/booking/hires";
  // Share of bookings that use a ticket. The others send an idempotency key.
  Permille with_ticket{500};
  // Share of chats and reports that are streamed. The others get their response
  // in one piece.
  Permille streamed{700};
  Tokens report_tokens{400};
  // A call that has not ended after this time is aborted, and ends as kCut
  // unless an earlier attempt set another outcome.
  Duration call_timeout = std::chrono::seconds(60);
};

// One request that the load generator will send.
struct PlannedCall {
  LoadKind kind = LoadKind::kChat;
  // Time to send it, relative to the start of the run.
  Duration at{};
  // Index of the first router to try in LoadOptions::routers.
  size_t router = 0;
  // Prompt of a chat or report, unique within the run.
  std::string prompt;
  Tokens max_tokens;
  bool streamed = false;
  // Unique key of a booking.
  std::string key;
  bool with_ticket = false;
};

// Returns all requests of a run, ordered by time. The same options produce the
// same plan.
std::vector<PlannedCall> PlanLoad(const LoadOptions& options);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LOAD_PLAN_H_
