#ifndef SRC_GATEWAY_CALLER_CONNECTION_H_
#define SRC_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/units.h"
#include "include/gateway/gateway_config.h"
#include "include/wire/http_message.h"
#include "src/gateway/message_reader.h"

namespace papaya {

class CallerConnection;
class TcpChannel;

// What all connections of one listening address share.
struct CallerShared {
  // Bounds for requests that begin from now on.
  CallerLimits limits;
  // Answers say that the connection ends after them.
  bool announces_close = false;
  // No connection takes another request.
  bool is_shutting_down = false;
  // A whole request has come; answer it through the connection, now or later.
  std::function<void(const std::shared_ptr<CallerConnection>&, HttpRequest)>
      request;
  // A request that is refused before it is whole.
  std::function<HttpResponse(const HttpFault&)> read_error;
  std::function<void(CallerConnection*)> ended;
};

// A connection of a caller: reads one request at a time and writes its answer.
// What the caller sends ahead waits. One thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<CallerShared> shared);
  ~CallerConnection();

  void Start();

  // The caller leaves before its answer is whole: called once, then the
  // connection is closed.
  void SetDisconnectHook(std::function<void()> disconnected) {
    disconnected_ = std::move(disconnected);
  }
  // What was written has gone out.
  void SetDrainedHook(std::function<void()> drained) {
    drained_ = std::move(drained);
  }

  // Answers at once and whole.
  void Respond(const HttpResponse& response);

  // Answers piece by piece; `length` of the body if it is known.
  void StartResponse(const HttpResponse& head, std::optional<uint64_t> length);
  void WriteBody(std::string_view bytes);
  void EndResponse();

  // Cuts the answer so that it can't be taken for a whole one.
  void Abort();

  // Closes the connection if it has no request.
  void CloseIfIdle();

  // Ends what takes too long.
  void OnTick(TimePoint now);

  // Bytes of the answer that still wait.
  size_t pending_bytes() const;
  bool IsIdle() const { return state_ == State::kIdle; }

 private:
  enum class State : uint8_t {
    kIdle,        // nothing of a request has come
    kReading,     // a request comes
    kResponding,  // a request is being served
    kClosing,     // the last answer goes out
    kHalfClosed,  // closed from this side without a request
    kClosed,
  };

  void OnData(std::string_view bytes);
  void OnEnded();
  void ReadRequest();
  void DeliverRequest();
  void RejectRequest(const HttpFault& read_error);
  // The header of an answer, up to its end.
  std::string FormatHead(const HttpResponse& response,
                         std::optional<uint64_t> length);
  // The answer is whole: on to the next request, or the end.
  void FinishResponse();
  void Close();

  std::shared_ptr<CallerShared> shared_;
  std::shared_ptr<TcpChannel> channel_;
  std::unique_ptr<RequestReader> reader_;
  std::string input_;
  std::function<void()> disconnected_;
  std::function<void()> drained_;
  State state_ = State::kIdle;
  bool keeps_alive_ = true;
  bool is_http_1_0_ = false;
  bool is_head_request_ = false;
  bool is_chunked_ = false;
  bool has_sent_continue_ = false;
  bool has_ended_ = false;
  // When the state began, or bytes of the request came.
  TimePoint state_start_;
  Duration idle_limit_{};
};

}  // namespace papaya

#endif  // SRC_GATEWAY_CALLER_CONNECTION_H_
