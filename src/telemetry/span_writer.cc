#include "include/telemetry/span_writer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "include/base/error.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;

std::string UnixNanos(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

json::object Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", json::object{{"stringValue", value}}}};
}

json::object Status(const std::string& error) {
  if (error.empty()) {
    return {{"code", kStatusOk}};
  }
  return {{"code", kStatusError}, {"message", error}};
}

}  // namespace

std::string FormatSpan(const Span& span, const std::string& service) {
  json::array attributes;
  attributes.push_back(Attribute("service.name", service));
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  json::object line = {
      {"traceId", span.context.trace_id},
      {"spanId", span.context.span_id},
      {"parentSpanId", span.parent_id},
      {"name", span.name},
      {"startTimeUnixNano", UnixNanos(span.start)},
      {"endTimeUnixNano", UnixNanos(span.end)},
      {"attributes", std::move(attributes)},
      {"status", Status(span.error)},
  };
  return json::serialize(line);
}

absl::Status SpanWriter::Open(const std::string& path) {
  if (path.empty()) {
    return absl::OkStatus();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  out_.open(path, std::ios::app);
  if (!out_.is_open()) {
    return MakeError(absl::StatusCode::kUnavailable,
                     {.step = "spans.open", .peer = path}, "can't be opened");
  }
  return absl::OkStatus();
}

void SpanWriter::Write(const Span& span) {
  if (!span.context.sampled || !out_.is_open()) {
    return;
  }
  const std::string line = FormatSpan(span, service_);
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << line << '\n' << std::flush;
}

}  // namespace papaya
