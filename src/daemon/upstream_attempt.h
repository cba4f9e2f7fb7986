#ifndef SRC_DAEMON_UPSTREAM_ATTEMPT_H_
#define SRC_DAEMON_UPSTREAM_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "include/admission/attempt_result.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/wire/http_client.h"
#include "include/wire/http_message.h"

namespace papaya {

// How far an attempt came by the head of its answer.
struct AttemptHead {
  // kOk if the upstream took the request on; `response` is its head then.
  AttemptEnd end = AttemptEnd::kOk;
  HttpResponse response;
  // What failed; OK with kOk.
  absl::Status status;
};

// One attempt of one request at one upstream: connects, hands the request over
// and reads the answer. Tells exactly whether the request can have begun.
class UpstreamAttempt {
 public:
  struct Options {
    UpstreamSpec upstream;
    // False if the request must not run twice: it gets a connection of its
    // own, and is never sent again.
    bool idempotent = true;
    // End of the attempt.
    TimePoint deadline;
  };

  // `pool` must outlive the attempt and belong to its thread.
  UpstreamAttempt(Options options, HttpClientPool* pool);
  // Gives the connection back if its answer was read to the end.
  ~UpstreamAttempt();

  // Hands `request` over and reads the head of the answer. A head of status
  // 5xx counts as kUnknown unless the upstream says that it did nothing.
  boost::asio::awaitable<AttemptHead> Begin(const HttpRequest& request);

  // Reads the next piece of the answer's body; empty at its end.
  boost::asio::awaitable<absl::StatusOr<std::string>> ReadPiece();

  // Asks the upstream for the rest of the broken stream, from token `offset`
  // on. Fails with kNotFound if the upstream has forgotten it.
  boost::asio::awaitable<absl::Status> Resume(std::string stream_id,
                                              int64_t offset);

  // Cuts the connection; waits in progress fail, and none succeeds any more.
  void Close();

  const UpstreamSpec& upstream() const { return options_.upstream; }

 private:
  boost::asio::awaitable<absl::Status> Connect();
  // Sends `request` and reads the head of its answer.
  boost::asio::awaitable<absl::StatusOr<HttpResponse>> SendRequest(
      const HttpRequest& request);
  AttemptHead Classify(absl::StatusOr<HttpResponse> response) const;

  Options options_;
  HttpClientPool* pool_;
  std::unique_ptr<HttpClient> client_;
  bool closed_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_UPSTREAM_ATTEMPT_H_
