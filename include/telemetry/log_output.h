#ifndef INCLUDE_TELEMETRY_LOG_OUTPUT_H_
#define INCLUDE_TELEMETRY_LOG_OUTPUT_H_

#include <memory>
#include <ostream>

#include "include/base/units.h"

namespace papaya {

// A file descriptor as the stream of a Logger. Lines are queued and written by
// a thread of this, so that nobody who logs ever waits for whoever reads the
// log. Beyond the bound of the queue lines are lost; `log_lines_lost` then
// stands in their place.
class LogOutput {
 public:
  struct Options {
    // Bound of the queue.
    Bytes max_queued{1024 * 1024};
    // Time that the reader has, at the end, to take what is queued.
    Duration farewell = std::chrono::seconds(1);
  };

  // `fd` must stay open as long as this lives. SIGPIPE must be ignored.
  explicit LogOutput(int fd) : LogOutput(fd, Options()) {}
  LogOutput(int fd, const Options& options);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  // A line goes out when the stream is flushed after it. One thread at a time.
  std::ostream& stream() { return stream_; }

 private:
  class Writer;
  class LineBuffer;

  std::unique_ptr<Writer> writer_;
  std::unique_ptr<LineBuffer> buffer_;
  std::ostream stream_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_LOG_OUTPUT_H_
