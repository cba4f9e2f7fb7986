#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <sstream>

#include "include/telemetry/logger.h"
#include "include/telemetry/metrics.h"
#include "include/telemetry/span_writer.h"
#include "include/telemetry/trace_context.h"

namespace papaya {
namespace {

using Catch::Contains;

TEST_CASE("Logger: writes one JSON line an event", "[telemetry]") {
  std::ostringstream out;
  {
    Logger logger(out, Severity::kInfo);
    Event event{.id = EventId::kRouterReady};
    event.fields = {{"revision", "a \"quoted\" 7"}};
    logger.Log(event);
  }
  const boost::json::value line = boost::json::parse(out.str());
  CHECK(line.at("event").as_int64() == 1002);
  CHECK(line.at("name").as_string() == "router_ready");
  CHECK(line.at("revision").as_string() == "a \"quoted\" 7");
}

TEST_CASE("MetricsRegistry: exports counters and histograms as Prometheus text",
          "[telemetry]") {
  MetricsRegistry registry;
  registry.GetCounter("requests_total", "Requests.", {{"tier", "batch"}})
      .Add(3);
  LatencyHistogram& latency = registry.GetHistogram("latency", "Latency.");
  latency.Record(std::chrono::milliseconds(20));
  latency.Record(std::chrono::hours(1));
  const std::string text = registry.Export();
  CHECK_THAT(text, Contains("requests_total{tier=\"batch\"} 3"));
  CHECK_THAT(text, Contains("latency_count 2"));
  CHECK_THAT(text, Contains("latency_bucket{le=\"+Inf\"} 2"));
}

TEST_CASE("TraceContext: reads what it writes, and nothing malformed",
          "[telemetry]") {
  const TraceContext context = TraceContext::NewTrace();
  CHECK(ParseTraceparent(FormatTraceparent(context)) == context);
  CHECK(context.NewChild().trace_id == context.trace_id);
  for (const char* header :
       {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"}) {
    CHECK_FALSE(ParseTraceparent(header).has_value());
  }
}

TEST_CASE("FormatSpan: has the shape of an OTLP span", "[telemetry]") {
  Span span{.context = TraceContext::NewTrace(), .name = "attempt"};
  span.error = "cut";
  const boost::json::value line =
      boost::json::parse(FormatSpan(span, "router-1"));
  CHECK(line.at("name").as_string() == "attempt");
  CHECK(line.at("status").at("code").as_int64() == 2);
  CHECK(line.at("traceId").as_string().size() == 32);
}

}  // namespace
}  // namespace papaya
