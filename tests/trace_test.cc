#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "include/wire/steady_time.h"
#include "tests/loopback.h"
#include "tests/router_harness.h"

namespace papaya {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kTrace = "0af7651916cd43dd8448eb211c80319c";
constexpr const char* kCallerSpan = "b7ad6b7169203331";

std::string TextIn(const json::value& span, const char* key) {
  return std::string(span.at(key).as_string());
}

// Waits until the span file has at least `count` spans of the trace and returns
// them by name.
std::multimap<std::string, json::value> AwaitSpans(size_t count) {
  const TimePoint deadline = TestDeadline();
  while (true) {
    std::multimap<std::string, json::value> spans;
    std::ifstream file(RouterHarness::SpanFile());
    std::string line;
    while (std::getline(file, line) && !file.eof()) {
      const json::value span = json::parse(line);
      if (TextIn(span, "traceId") == kTrace) {
        spans.emplace(TextIn(span, "name"), span);
      }
    }
    if (spans.size() >= count) {
      return spans;
    }
    INFO(spans.size() << " spans");
    REQUIRE(SteadyNow() < deadline);
  }
}

TEST_CASE(
    "Spans: a forwarded request with two attempts is one trace from caller to "
    "upstream",
    "[daemon][threads]") {
  int calls = 0;
  const HttpServer::Handler refuse_once =
      [&calls](HttpExchange& exchange) -> asio::awaitable<void> {
    HttpResponse response;
    if (++calls == 1) {
      response.status = 503;
      response.headers.Set("papaya-not-run", "1");
    }
    (co_await exchange.Respond(std::move(response))).IgnoreError();
  };
  FakeUpstream first(RouterHarness::context(), refuse_once);
  FakeUpstream second(RouterHarness::context(), refuse_once);
  RouterHarness fleet({RouterHarness::Service("b1", first),
                       RouterHarness::Service("b2", second)});
  RouterDaemon& issuer = fleet.AddRouter("router-2");
  RouterDaemon& entry = fleet.AddRouter("router-3");
  fleet.Run([&]() -> asio::awaitable<void> {
    const std::string ticket = co_await fleet.IssueTicket(issuer);
    HttpRequest booking = RouterHarness::Booking("");
    booking.headers.Remove("Idempotency-Key");
    booking.headers.Set("papaya-ticket", ticket);
    booking.headers.Set(
        "traceparent", std::string("00-") + kTrace + "-" + kCallerSpan + "-01");
    const HttpResponse response = co_await fleet.Fetch(entry, booking);
    INFO(response.body);
    REQUIRE(response.status == 200);
  });
  // Two request spans, one forward, two queue waits, two attempts.
  const std::multimap<std::string, json::value> spans = AwaitSpans(7);
  REQUIRE(spans.size() == 7);
  REQUIRE(spans.count("forward") == 1);
  REQUIRE(spans.count("request") == 2);
  const json::value& forward = spans.find("forward")->second;
  std::string at_entry;
  std::string at_issuer;
  for (auto span = spans.lower_bound("request");
       span != spans.upper_bound("request"); ++span) {
    const bool is_entry = TextIn(span->second, "parentSpanId") == kCallerSpan;
    (is_entry ? at_entry : at_issuer) = TextIn(span->second, "spanId");
    if (!is_entry) {
      CHECK(TextIn(span->second, "parentSpanId") == TextIn(forward, "spanId"));
    }
  }
  CHECK_FALSE(at_entry.empty());
  CHECK(TextIn(forward, "parentSpanId") == at_entry);
  std::set<std::string> attempts;
  int failed = 0;
  for (const char* name : {"queue_wait", "attempt"}) {
    CHECK(spans.count(name) == 2);
    for (auto span = spans.lower_bound(name); span != spans.upper_bound(name);
         ++span) {
      CHECK(TextIn(span->second, "parentSpanId") == at_issuer);
      attempts.insert(TextIn(span->second, "spanId"));
      failed += span->second.at("status").at("code") == 2 ? 1 : 0;
    }
  }
  CHECK(failed == 1);
  int passed_on = 0;
  for (const FakeUpstream* upstream : {&first, &second}) {
    for (const HttpRequest& received : upstream->received()) {
      const std::string traceparent = received.headers.Get("traceparent");
      REQUIRE(traceparent.size() == 55);
      CHECK(traceparent.substr(3, 32) == kTrace);
      passed_on += attempts.contains(traceparent.substr(36, 16)) ? 1 : 0;
    }
  }
  CHECK(passed_on == 2);
}

}  // namespace
}  // namespace papaya
