#include "include/telemetry/log_output.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "include/telemetry/logger.h"

namespace papaya {
namespace {

// More than a pipe and the queues of these tests hold.
constexpr int kMany = 4000;

// A pipe whose reader is the test.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe2(ends_.data(), O_CLOEXEC) == 0); }
  ~Pipe() {
    CloseReader();
    CloseWriter();
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return ends_[1]; }
  void CloseReader() { Close(ends_[0]); }
  void CloseWriter() { Close(ends_[1]); }

  // The next line, waiting for it; empty at the end.
  std::string ReadLine() {
    while (true) {
      const size_t end = buffer_.find('\n');
      if (end != std::string::npos) {
        std::string line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        return line;
      }
      std::array<char, 4096> bytes;
      const ssize_t count = read(ends_[0], bytes.data(), bytes.size());
      if (count <= 0) {
        return "";
      }
      buffer_.append(bytes.data(), static_cast<size_t>(count));
    }
  }

 private:
  static void Close(int& end) {
    if (end >= 0) {
      close(end);
      end = -1;
    }
  }

  std::array<int, 2> ends_ = {-1, -1};
  std::string buffer_;
};

// Logs `count` numbered events.
void LogNumbers(LogOutput& output, int count) {
  Logger logger(output.stream(), Severity::kInfo);
  for (int i = 0; i < count; ++i) {
    Event event{.id = EventId::kRevisionInForce};
    event.fields = {{"revision", std::to_string(i)}};
    logger.Log(event);
  }
}

int NumberIn(const boost::json::value& line, const char* key) {
  return std::stoi(std::string(line.at(key).as_string()));
}

TEST_CASE(
    "LogOutput: nobody waits for a reader that stalls, and it learns which "
    "lines it lost",
    "[telemetry][threads]") {
  Pipe pipe;
  LogOutput output(pipe.writer(), {.max_queued = Bytes(16 * 1024)});
  LogNumbers(output, kMany);
  int next = 0;
  int lost = 0;
  while (next < kMany) {
    const boost::json::value line = boost::json::parse(pipe.ReadLine());
    if (line.at("name").as_string() == "log_lines_lost") {
      lost += NumberIn(line, "lines");
      next += NumberIn(line, "lines");
      continue;
    }
    REQUIRE(NumberIn(line, "revision") == next);
    ++next;
  }
  CHECK(next == kMany);
  CHECK(lost > 0);
  // It goes on as before.
  LogNumbers(output, 1);
  CHECK(NumberIn(boost::json::parse(pipe.ReadLine()), "revision") == 0);
}

TEST_CASE("LogOutput: a line longer than the queue is lost alone",
          "[telemetry][threads]") {
  Pipe pipe;
  LogOutput output(pipe.writer(), {.max_queued = Bytes(100)});
  output.stream() << std::string(101, 'x') << "\n" << std::flush;
  CHECK(NumberIn(boost::json::parse(pipe.ReadLine()), "lines") == 1);
  output.stream() << "short\n" << std::flush;
  CHECK(pipe.ReadLine() == "short");
}

TEST_CASE("LogOutput: writes what is queued before it ends",
          "[telemetry][threads]") {
  Pipe pipe;
  auto output = std::make_unique<LogOutput>(pipe.writer());
  LogNumbers(*output, 100);
  output.reset();
  pipe.CloseWriter();
  for (int i = 0; i < 100; ++i) {
    CHECK(NumberIn(boost::json::parse(pipe.ReadLine()), "revision") == i);
  }
  CHECK(pipe.ReadLine().empty());
}

TEST_CASE("LogOutput: ends though its reader has stalled or gone",
          "[telemetry][threads]") {
  const auto former = signal(SIGPIPE, SIG_IGN);
  for (const bool is_gone : {false, true}) {
    Pipe pipe;
    if (is_gone) {
      pipe.CloseReader();
    }
    LogOutput output(pipe.writer(), {.farewell = Duration(0)});
    LogNumbers(output, kMany);
  }
  signal(SIGPIPE, former);
  SUCCEED();
}

}  // namespace
}  // namespace papaya
