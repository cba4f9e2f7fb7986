#ifndef INCLUDE_TELEMETRY_LOGGER_H_
#define INCLUDE_TELEMETRY_LOGGER_H_

#include <iosfwd>
#include <memory>
#include <string>

#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

// `event` as one line of JSON without line end:
// `{"t":"2026-03-01T05:00:00.000Z","event":1002,"name":"router_ready",
// "severity":"info","revision":"7"}`.
std::string FormatEvent(const Event& event, WallTime time);

// Writes events as lines through Boost.Log. Any thread. Whoever logs waits for
// the stream; LogOutput is one that keeps nobody waiting.
class Logger {
 public:
  // Lines go to `out`, which must outlive the logger; events below `least` are
  // left out. One logger at a time.
  Logger(std::ostream& out, Severity least);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Log(const Event& event);

  // A hook for decision cores; the logger must outlive it.
  EventHook hook();

 private:
  class Sink;

  Severity least_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_LOGGER_H_
