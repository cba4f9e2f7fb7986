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

// The kinds of requests that load consists of.
enum class LoadKind : uint8_t { kChat, kReport, kBooking };

inline constexpr std::array<LoadKind, 3> kAllLoadKinds = {
    LoadKind::kChat, LoadKind::kReport, LoadKind::kBooking};

// `chat`, `report` or `booking`.
const char* LoadKindName(LoadKind kind);

// The tier that the deployments' settings give to requests of `kind`.
Tier TierOfLoadKind(LoadKind kind);

struct LoadOptions {
  // Callers' addresses of the routers.
  std::vector<std::string> routers;
  // Bearer token of the client account.
  std::string token;
  // Part of all booking keys, so that two runs never share one.
  std::string run = "run";
  uint64_t seed = 1;
  // Requests a second, by LoadKind.
  std::array<double, kAllLoadKinds.size()> rates = {10, 1, 5};
  // Requests are sent for this long.
  Duration duration = std::chrono::seconds(10);
  std::string chat_model = "assistant";
  std::string report_model = "assistant";
  // Value of `papaya-route` on reports.
  std::string report_route = "plan";
  std::string booking_path = "/svc/booking/hires";
  // Bookings under a ticket; the rest brings its own key.
  Permille with_ticket{500};
  // Chats and reports that are streamed; the rest comes whole.
  Permille streamed{700};
  Tokens report_tokens{400};
  // A call that has no end by then counts as cut.
  Duration call_timeout = std::chrono::seconds(60);
};

// One request to be sent.
struct PlannedCall {
  LoadKind kind = LoadKind::kChat;
  // From the start of the run.
  Duration at{};
  // Index into LoadOptions::routers of the router to try first.
  size_t router = 0;
  // Of chats and reports; unique in the run.
  std::string prompt;
  Tokens max_tokens;
  bool streamed = false;
  // Of bookings; unique.
  std::string key;
  bool with_ticket = false;
};

// All requests of a run, by time. The same options give the same plan.
std::vector<PlannedCall> PlanLoad(const LoadOptions& options);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LOAD_PLAN_H_
