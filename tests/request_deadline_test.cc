#include "src/daemon/request_deadline.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace papaya {
namespace {

constexpr const char* kDeadline = "papaya-deadline-ms";
const TimePoint kArrival(std::chrono::hours(1));

RouteSettings TenSeconds() {
  RouteSettings route;
  route.deadline = std::chrono::seconds(10);
  return route;
}

TEST_CASE("DeadlineOf: a caller can only shorten the deadline of the route",
          "[daemon]") {
  HttpHeaders headers;
  const TimePoint routes = kArrival + std::chrono::seconds(10);
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) == routes);
  headers.Set(kDeadline, "11000");
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) == routes);
  headers.Set(kDeadline, "no number");
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) == routes);
  headers.Set(kDeadline, "500");
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) ==
        kArrival + std::chrono::milliseconds(500));
}

TEST_CASE(
    "SetTimeLeft: the issuer of a ticket gets the remaining time of the "
    "forwarding router",
    "[daemon]") {
  HttpHeaders headers;
  headers.Set(kDeadline, "5000");
  SetTimeLeft(std::chrono::milliseconds(4200), &headers);
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) ==
        kArrival + std::chrono::milliseconds(4200));
  // The deadline may have passed already.
  SetTimeLeft(std::chrono::seconds(-3), &headers);
  CHECK(DeadlineOf(TenSeconds(), headers, kArrival) ==
        kArrival + std::chrono::milliseconds(1));
}

}  // namespace
}  // namespace papaya
