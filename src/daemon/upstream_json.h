#ifndef SRC_DAEMON_UPSTREAM_JSON_H_
#define SRC_DAEMON_UPSTREAM_JSON_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "include/rollout/engine_order.h"
#include "include/routing/upstream_reports.h"

namespace papaya {

// The answer to `GET /v1/cache_events`: all its events in one.
struct CacheEventPage {
  // Where to go on next time.
  uint64_t next = 0;
  CacheEvent event;
};

// What model engines answer, as docs/PROTOCOLS.md has it. Each fails with
// kInvalidArgument if the text is not of that form.
absl::StatusOr<LoadReport> ParseLoadReport(const std::string& text);
absl::StatusOr<CacheEventPage> ParseCacheEventPage(const std::string& text);
absl::StatusOr<EngineState> ParseEngineState(const std::string& text);

// The body of `POST /v1/orders`.
std::string FormatEngineOrder(const EngineOrder& order);

}  // namespace papaya

#endif  // SRC_DAEMON_UPSTREAM_JSON_H_
