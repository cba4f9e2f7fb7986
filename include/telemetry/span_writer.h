#ifndef INCLUDE_TELEMETRY_SPAN_WRITER_H_
#define INCLUDE_TELEMETRY_SPAN_WRITER_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "include/telemetry/trace_context.h"

namespace papaya {

// One hop of a request, with its start and end.
struct Span {
  TraceContext context;
  // Span id of the parent; empty for the first span of a trace.
  std::string parent_id;
  // As `attempt` or `queue_wait`.
  std::string name;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  // Empty if the hop went well.
  std::string error;
  std::vector<std::pair<std::string, std::string>> attributes;
};

// `span` as one line of JSON in the shape that OpenTelemetry's OTLP has for
// spans; `service` names the process.
std::string FormatSpan(const Span& span, const std::string& service);

// Appends spans to a file, one a line. Any thread.
class SpanWriter {
 public:
  explicit SpanWriter(const std::string& service) : service_(service) {}

  // Opens the file at `path`. Until then, and with an empty path, nothing is
  // written.
  absl::Status Open(const std::string& path);

  bool is_open() const { return out_.is_open(); }

  // Writes `span` if its trace is sampled.
  void Write(const Span& span);

 private:
  std::string service_;
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_SPAN_WRITER_H_
