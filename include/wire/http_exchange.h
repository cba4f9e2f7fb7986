#ifndef INCLUDE_WIRE_HTTP_EXCHANGE_H_
#define INCLUDE_WIRE_HTTP_EXCHANGE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "include/wire/http_message.h"

namespace papaya {

// One request at an HttpServer and its answer: either whole by Respond, or as
// a stream by StartStream, Write and EndStream. An exchange that its handler
// leaves unanswered cuts the connection, so that a caller never takes a part
// for the whole. Lives on the thread of its connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  // Gives up the request's body and headers.
  virtual HttpRequest TakeRequest() = 0;

  virtual boost::asio::any_io_executor executor() const = 0;

  // Sends a whole answer. Content-Length is added.
  virtual boost::asio::awaitable<absl::Status> Respond(
      HttpResponse response) = 0;

  // Sends the head of an answer whose body follows in pieces.
  virtual boost::asio::awaitable<absl::Status> StartStream(
      HttpResponse head) = 0;

  // Sends one piece of the body; waits while the caller is slow to read.
  virtual boost::asio::awaitable<absl::Status> Write(std::string piece) = 0;

  // Ends the body.
  virtual boost::asio::awaitable<absl::Status> EndStream() = 0;

  // `gone` is called, on the connection's thread, if the caller closes the
  // connection while the exchange goes on. Set null to hear no more.
  virtual void OnCallerGone(std::function<void()> gone) = 0;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_HTTP_EXCHANGE_H_
