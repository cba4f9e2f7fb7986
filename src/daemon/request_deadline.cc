#include "src/daemon/request_deadline.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/daemon/router_error.h"

namespace papaya {

namespace {

// Smaller values in the papaya-deadline-ms header are raised to this.
constexpr int64_t kMinDeadlineMs = 1;

}  // namespace

TimePoint DeadlineOf(const RouteSettings& route,
                     const HttpHeaders& headers,
                     TimePoint arrival) {
  Duration allowed = route.deadline;
  int64_t requested_ms = 0;
  if (absl::SimpleAtoi(headers.Get(kDeadlineHeader), &requested_ms)) {
    const auto requested =
        std::chrono::milliseconds(std::max(requested_ms, kMinDeadlineMs));
    allowed = requested < allowed ? Duration(requested) : allowed;
  }
  return arrival + allowed;
}

void SetTimeLeft(Duration left, HttpHeaders* headers) {
  const int64_t left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  headers->Set(kDeadlineHeader, absl::StrCat(left_ms));
}

}  // namespace papaya
