#ifndef SRC_DAEMON_STREAM_RELAY_H_
#define SRC_DAEMON_STREAM_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "include/base/units.h"
#include "include/wire/http_message.h"
#include "include/wire/sse_reader.h"
#include "include/wire/stream_assembler.h"

namespace papaya {

class HttpExchange;
class UpstreamAttempt;

// Passes a stream of an engine on to its caller event by event, in order and
// without doubles, and resumes it at its offset when it breaks.
class StreamRelay {
 public:
  struct Options {
    std::string stream_id;
    // Tokens that the caller has already.
    int64_t offset = 0;
    // How often in a row it is resumed without any progress.
    int max_resumes = 3;
  };

  struct Hooks {
    // The first event is about to go to the caller; false gives the stream up
    // while nothing was sent.
    std::function<bool()> before_first_event;
    // The stream broke and is asked for again (true), or flows again (false).
    std::function<void(bool)> resuming;
    // So many tokens were passed on, counted from the start of the stream.
    std::function<void(int64_t)> tokens;
    // True if the stream should be given up.
    std::function<bool()> is_cancelled;
  };

  // What has become of the stream.
  enum class End : uint8_t {
    kComplete,      // the caller has all of it
    kNothingSent,   // broken, and the caller has no byte of it
    kTruncated,     // broken for good after the caller got a part
    kCallerFailed,  // the caller takes no more
  };

  // `attempt` and `exchange` must outlive the relay; the head of the engine's
  // answer has been read.
  StreamRelay(Options options,
              Hooks hooks,
              UpstreamAttempt* attempt,
              HttpExchange* exchange);

  // Sends `head` to the caller when the first event is there, then the stream.
  boost::asio::awaitable<End> Run(HttpResponse head);

  // What broke the stream; OK if it is whole.
  const absl::Status& status() const { return status_; }

  // Tokens passed on, counted from the start of the stream.
  int64_t tokens() const { return assembler_.next(); }

 private:
  // Reads and passes on until the end, a break, or a caller's failure.
  boost::asio::awaitable<absl::Status> RelayEvents(const HttpResponse& head);
  boost::asio::awaitable<bool> SendToCaller(const HttpResponse& head,
                                            std::string text);
  boost::asio::awaitable<absl::Status> Resume();
  End FailureEnd() const;

  Options options_;
  Hooks hooks_;
  UpstreamAttempt* attempt_;
  HttpExchange* exchange_;
  SseReader reader_;
  StreamAssembler assembler_;
  absl::Status status_;
  bool started_ = false;
  bool caller_failed_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_STREAM_RELAY_H_
