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

// Relays an engine's event stream to the caller in order and without
// duplicates. Resumes the stream at its offset after an interruption.
class StreamRelay {
 public:
  struct Options {
    std::string stream_id;
    // Number of tokens that the caller has already received.
    int64_t offset = 0;
    // Maximum number of consecutive resumptions without any new token.
    int max_resumes = 3;
  };

  struct Hooks {
    // Called before the first event is sent to the caller. If it returns false,
    // the stream is cancelled and nothing is sent.
    std::function<bool()> before_first_event;
    // Called with true before an interrupted stream is resumed, and with false
    // after it was resumed.
    std::function<void(bool)> resuming;
    // Called with the number of tokens relayed, counted from the start of the
    // stream.
    std::function<void(int64_t)> tokens;
    // Returns true if the stream should not be resumed any more.
    std::function<bool()> is_cancelled;
  };

  // How the relay ended.
  enum class End : uint8_t {
    kComplete,      // the caller received the whole stream
    kNothingSent,   // ended before anything was sent
    kTruncated,     // failed after a part was sent
    kCallerFailed,  // writing to the caller failed
  };

  // `attempt` and `exchange` must outlive the relay. The head of the engine's
  // response must have been read.
  StreamRelay(Options options,
              Hooks hooks,
              UpstreamAttempt* attempt,
              HttpExchange* exchange);

  // Sends `head` when the first event arrives, then relays the stream.
  boost::asio::awaitable<End> Run(HttpResponse head);

  // Why the stream ended early; OK if it is complete.
  const absl::Status& status() const { return status_; }

  // Number of tokens relayed, counted from the start of the stream.
  int64_t tokens() const { return assembler_.next(); }

 private:
  // Relays events until the stream ends, the upstream fails or the caller
  // fails.
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
