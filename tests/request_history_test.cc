#include "include/ctl/request_history.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "include/admission/attempt_result.h"

namespace papaya {
namespace {

// Returns the line that a router logs for a request that failed.
std::string FailedRequestLine(const std::string& clock,
                              const std::string& request,
                              const std::string& reason,
                              const std::string& account) {
  return R"({"t":"2026-03-01T19:33:)" + clock +
         R"(Z","event":8002,"name":"request_failed","request":")" + request +
         R"(","account":")" + account + R"(","reason":")" + reason +
         R"(","queued":"41"})";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("RequestHistory: combines the lines of all routers on one request",
          "[ctl]") {
  RequestHistory history("id1");
  history.AddLine("r2.log",
                  FailedRequestLine("19.500", "id1", "deadline", "school"));
  history.AddLine("r1.log",
                  FailedRequestLine("12.000", "id1", "over_quota", "school"));
  history.AddLine("r2.log",
                  FailedRequestLine("19.600", "id2", "deadline", "bank"));
  history.AddLine("r2.log",
                  FailedRequestLine("19.700", "id3", "deadline", "bank"));
  history.AddLine("r2.log", "not JSON { at all");
  history.AddLine("r2.log",
                  R"({"t":"2026-03-01T19:33:18.000Z","name":"store_lost"})");
  history.AddLine(
      "r2.log", R"({"t":"2026-03-01T19:33:19.900Z","name":"store_regained"})");
  history.AddLine("r1.log",
                  R"({"t":"2026-03-01T19:33:18.100Z","name":"router_dead"})");
  REQUIRE(history.IsFound());
  const std::string text = history.ToText();
  CHECK(text.find("r1.log") < text.find("r2.log"));
  CHECK(Contains(text, "its account had used up its quota"));
  CHECK(Contains(text, "no slot became free"));
  CHECK(Contains(text, "queued=41"));
  CHECK(Contains(text, "2 more logged, most of account bank"));
  CHECK(Contains(text, "store_lost"));
  // These events are later than the request or from another router.
  CHECK_FALSE(Contains(text, "store_regained"));
  CHECK_FALSE(Contains(text, "router_dead"));
  CHECK(Contains(boost::json::serialize(history.ToJson()),
                 "\"request\":\"id1\""));
}

TEST_CASE("RequestHistory: a log collector's prefix names the router",
          "[ctl]") {
  RequestHistory history("id1");
  history.AddLine("all.log",
                  "  12.03 edge-west-1 " +
                      FailedRequestLine("19.500", "id1", "timeout", "school"));
  CHECK(
      Contains(history.ToText(), " edge-west-1: failed: it timed out before"));
  CHECK_FALSE(RequestHistory("id2").IsFound());
}

TEST_CASE("RequestHistory: only the latest events are shown", "[ctl]") {
  RequestHistory history("id1");
  for (int i = 10; i < 40; ++i) {
    history.AddLine("r", R"({"t":"2026-03-01T19:33:20.0)" + std::to_string(i) +
                             R"(Z","name":"belief_)" + std::to_string(i) +
                             R"("})");
  }
  history.AddLine("r",
                  FailedRequestLine("20.900", "id1", "deadline", "school"));
  const std::string text = history.ToText();
  CHECK(Contains(text, "belief_39"));
  CHECK_FALSE(Contains(text, "belief_20"));
}

// Guards against a reason of the scheduler that operators can't look up.
TEST_CASE("RequestHistory: explains every reason of a rejection", "[ctl]") {
  constexpr int kLastReason =
      static_cast<int>(RejectionReason::kNoAllowedRegion);
  for (int i = 0; i <= kLastReason; ++i) {
    const std::string reason =
        RejectionReasonName(static_cast<RejectionReason>(i));
    INFO(reason);
    RequestHistory history("id1");
    history.AddLine("r1.log",
                    FailedRequestLine("19.500", "id1", reason, "school"));
    CHECK_FALSE(Contains(history.ToText(), "ended: " + reason));
  }
}

}  // namespace
}  // namespace papaya
