#ifndef INCLUDE_WIRE_HTTP_SERVER_H_
#define INCLUDE_WIRE_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

class HttpExchange;

// A fault in a request that the server answers by itself.
struct HttpFault {
  int status = 400;
  // Word for programs, as `headers_too_large`.
  std::string code;
  // Sentence for people.
  std::string message;
};

// Bounds of an HttpServer.
struct HttpServerOptions {
  // IP:PORT; port 0 takes a free one.
  std::string address;
  // Further connections are answered 503 and closed.
  int max_connections = 4096;
  // Longer headers are answered 431, longer bodies 413.
  Bytes max_header_bytes{16 * 1024};
  Bytes max_body_bytes{4 * 1024 * 1024};
  // Bodies of all connections together; a request that would pass it is
  // answered 503.
  Bytes max_buffered_bytes{64 * 1024 * 1024};
  // A request that is not whole by then is answered 408.
  Duration read_timeout = std::chrono::seconds(10);
  // A connection without any request is closed after this time.
  Duration idle_timeout = std::chrono::seconds(75);
  // A caller that takes nothing of its answer for this long is cut off.
  Duration write_timeout = std::chrono::seconds(30);
};

// An HTTP/1.1 server. Connections are spread over the given threads' contexts,
// and each stays on its own.
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;
  // Makes the answer to a fault.
  using FaultHook = std::function<HttpResponse(const HttpFault&)>;

  // Each context of `contexts` must be run by one thread, and outlive this.
  HttpServer(std::vector<boost::asio::io_context*> contexts,
             const HttpServerOptions& options,
             Handler handler,
             FaultHook on_fault);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the listening socket and starts to accept.
  absl::Status Start();

  // The port that is listened on; 0 before Start.
  uint16_t port() const;

  // From now on answers say `Connection: close`. Any thread.
  void AnnounceClose();

  // Closes the listening socket and all connections without a request; the
  // others close when they have answered. Any thread.
  void StopAccepting();

  // Cuts all connections. Any thread.
  void Abort();

  // Connections open now. Any thread.
  int connections() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_HTTP_SERVER_H_
