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

// The state of an attempt once the head of the response was read.
struct AttemptHead {
  // kOk if the upstream accepted the request; `response` is then the head of
  // its response.
  AttemptEnd end = AttemptEnd::kOk;
  HttpResponse response;
  // The failure; OK if `end` is kOk.
  absl::Status status;
};

// One attempt of one request at one upstream: connects, sends the request and
// reads the response. Reports whether the upstream can have started to process
// the request.
class UpstreamAttempt {
 public:
  struct Options {
    UpstreamSpec upstream;
    // False for at-most-once requests: they use a new connection and are never
    // sent again.
    bool idempotent = true;
    // The attempt fails after this time.
    TimePoint deadline;
  };

  // `pool` must outlive the attempt and belong to the same thread.
  UpstreamAttempt(Options options, HttpClientPool* pool);
  // Returns the connection to the pool if the response was read to its end.
  ~UpstreamAttempt();

  // Sends `request` and reads the head of the response. A 5xx status counts as
  // kUnknown unless the upstream states that it did not run the request.
  boost::asio::awaitable<AttemptHead> Begin(const HttpRequest& request);

  // Reads the next part of the response body; empty at its end.
  boost::asio::awaitable<absl::StatusOr<std::string>> ReadPiece();

  // Requests the rest of an interrupted stream from token `offset` on. Fails
  // with kNotFound if the upstream no longer has the stream.
  boost::asio::awaitable<absl::Status> Resume(std::string stream_id,
                                              int64_t offset);

  // Closes the connection. Operations in progress and all later ones fail.
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
