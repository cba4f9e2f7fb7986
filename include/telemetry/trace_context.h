#ifndef INCLUDE_TELEMETRY_TRACE_CONTEXT_H_
#define INCLUDE_TELEMETRY_TRACE_CONTEXT_H_

#include <optional>
#include <string>

namespace papaya {

// Where a span stands in its trace, as W3C Trace Context has it.
struct TraceContext {
  // 32 lower-case hex digits, not all zero.
  std::string trace_id;
  // 16 lower-case hex digits, not all zero.
  std::string span_id;
  bool sampled = true;

  // A new trace with a first span.
  static TraceContext NewTrace();

  // A new span in the same trace.
  TraceContext NewChild() const;

  bool operator==(const TraceContext&) const = default;
};

// Reads a `traceparent` header; empty if it is malformed.
std::optional<TraceContext> ParseTraceparent(const std::string& header);

// The `traceparent` header for `context`.
std::string FormatTraceparent(const TraceContext& context);

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_TRACE_CONTEXT_H_
