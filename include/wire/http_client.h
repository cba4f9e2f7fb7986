#ifndef INCLUDE_WIRE_HTTP_CLIENT_H_
#define INCLUDE_WIRE_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

// One kept-open connection to an HTTP/1.1 server. One request at a time. Every
// wait ends at the `deadline` given, a time of std::chrono::steady_clock.
//
// Errors carry the server's address: kUnavailable if the connection broke,
// kDeadlineExceeded if time was up, kInternal if the server broke the protocol.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // Sends `request`; on an error some bytes of it may have arrived.
  virtual boost::asio::awaitable<absl::Status> Send(const HttpRequest& request,
                                                    TimePoint deadline) = 0;

  // Reads the head of the answer; the body stays empty. Interim responses are
  // skipped, and a status that is no answer breaks the protocol.
  virtual boost::asio::awaitable<absl::StatusOr<HttpResponse>> ReadHead(
      TimePoint deadline) = 0;

  // Reads the next piece of the body, as soon as there is one; empty at the
  // end.
  virtual boost::asio::awaitable<absl::StatusOr<std::string>> ReadPiece(
      TimePoint deadline) = 0;

  // True if the last answer was read to its end and another request may go out.
  virtual bool IsReusable() const = 0;

  // Cuts the connection; waits in progress fail. Same thread.
  virtual void Close() = 0;

  // Connects to `address`, an IP:PORT.
  static boost::asio::awaitable<absl::StatusOr<std::unique_ptr<HttpClient>>>
  Connect(std::string address, TimePoint deadline);
};

// Idle connections of one thread, by address.
class HttpClientPool {
 public:
  // Keeps up to `max_idle` idle connections to each address.
  explicit HttpClientPool(int max_idle) : max_idle_(max_idle) {}

  // An idle connection to `address` that was still open a moment ago; null if
  // there is none.
  std::unique_ptr<HttpClient> TakeIdle(const std::string& address);

  // Closes the idle connections, to all addresses or to `address`.
  void CloseIdle() { idle_.clear(); }
  void CloseIdle(const std::string& address) { idle_.erase(address); }

  // Closes the idle connections and keeps none from now on. To be called
  // before the io_context of the thread is destroyed.
  void Shutdown();

  // Keeps `client` for later if it is reusable.
  void Give(const std::string& address, std::unique_ptr<HttpClient> client);

 private:
  int max_idle_;
  std::map<std::string, std::vector<std::unique_ptr<HttpClient>>> idle_;
};

// What an answer may take at most, unless the caller allows more.
inline constexpr Bytes kMaxAnswerBytes{8 * 1024 * 1024};

// Sends `request` to `address` on a connection of its own and reads the whole
// answer, at most `max_bytes` of it.
boost::asio::awaitable<absl::StatusOr<HttpResponse>> FetchHttp(
    std::string address,
    HttpRequest request,
    TimePoint deadline,
    Bytes max_bytes = kMaxAnswerBytes);

// The same on a connection of `pool`, which must outlive the call and has it
// back after a whole answer. A time-out closes the idle connections to
// `address`, as they may have gone silent with the one used. `grown`, which may
// be empty, is called with the memory of the answer's body whenever that has
// grown.
boost::asio::awaitable<absl::StatusOr<HttpResponse>> FetchHttp(
    HttpClientPool* pool,
    std::string address,
    HttpRequest request,
    TimePoint deadline,
    Bytes max_bytes = kMaxAnswerBytes,
    std::function<void(size_t bytes)> grown = nullptr);

}  // namespace papaya

#endif  // INCLUDE_WIRE_HTTP_CLIENT_H_
