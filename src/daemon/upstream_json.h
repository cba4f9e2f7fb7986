#ifndef SRC_DAEMON_UPSTREAM_JSON_H_
#define SRC_DAEMON_UPSTREAM_JSON_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "include/rollout/engine_order.h"
#include "include/routing/upstream_reports.h"

namespace papaya {

// The response to `GET /v1/cache_events`, with its events merged into one.
struct CacheEventPage {
  // The `after` parameter of the next request.
  uint64_t next = 0;
  CacheEvent event;
};

// Parse responses of model engines, specified in docs/PROTOCOLS.md. Fail with
// kInvalidArgument if the text is malformed.
absl::StatusOr<LoadReport> ParseLoadReport(const std::string& text);
absl::StatusOr<CacheEventPage> ParseCacheEventPage(const std::string& text);
absl::StatusOr<EngineState> ParseEngineState(const std::string& text);

// Formats the body of `POST /v1/orders`.
std::string FormatEngineOrder(const EngineOrder& order);

}  // namespace papaya

#endif  // SRC_DAEMON_UPSTREAM_JSON_H_
