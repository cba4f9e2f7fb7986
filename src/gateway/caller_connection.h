#ifndef SRC_GATEWAY_CALLER_CONNECTION_H_
#define SRC_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "include/admission/memory_budget.h"
#include "include/base/tier.h"
#include "include/base/units.h"
#include "include/gateway/gateway_config.h"
#include "include/wire/http_message.h"
#include "src/gateway/message_reader.h"

namespace papaya {

class CallerConnection;
class TcpChannel;

// How callers' requests share memory with everything else that a router holds.
struct CallerMemory {
  // What is known of a request once its header was read.
  struct HeadClass {
    Tier tier = Tier::kStandard;
    // How long the request may wait until its body is read.
    Duration max_wait{};
  };

  std::shared_ptr<MemoryBudget> budget;
  std::function<HeadClass(const HttpRequest& head)> classify;
  // Returns the response to a request that is rejected because memory is short.
  // `head` is null if it was not read completely.
  std::function<HttpResponse(const HttpRequest* head)> reject;
};

// State and hooks shared by all connections of one listening address.
struct CallerShared {
  // Limits for requests that start from now on.
  CallerLimits limits;
  // Responses carry `Connection: close`.
  bool announces_close = false;
  // Connections are closed after their current response, also if its header
  // promised to keep them open.
  bool is_shutting_down = false;
  // A complete request was received. Respond to it through the connection, now
  // or later.
  std::function<void(const std::shared_ptr<CallerConnection>&, HttpRequest)>
      request;
  // Returns the response to a request that could not be read completely.
  std::function<HttpResponse(const HttpFault&)> read_error;
  std::function<void(CallerConnection*)> ended;
  // Estimates how long bytes that are read now have waited to be read. Used if
  // the system does not tell; may be empty.
  std::function<Duration()> read_delay;
  // Without a budget, memory is not counted.
  CallerMemory memory;
};

// A connection of a caller. Reads one request at a time and writes its
// response; pipelined requests wait in a buffer. Single-threaded.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<CallerShared> shared);
  ~CallerConnection();

  void Start();

  // `disconnected` is called once if the caller disconnects before its response
  // is complete. The connection is closed by then.
  void SetDisconnectHook(std::function<void()> disconnected) {
    disconnected_ = std::move(disconnected);
  }
  // `drained` is called when all written bytes have been sent.
  void SetDrainedHook(std::function<void()> drained) {
    drained_ = std::move(drained);
  }

  // Sends a complete response.
  void Respond(const HttpResponse& response);

  // Send a response piece by piece. `length` is that of the body if known;
  // otherwise the body is sent in chunks, or up to the end of the connection
  // for HTTP/1.0.
  void StartResponse(const HttpResponse& head, std::optional<uint64_t> length);
  void WriteBody(std::string_view bytes);
  void EndResponse();

  // Resets the connection so that the caller sees that the response is
  // incomplete.
  void Abort();

  // Closes the connection if the caller has left, also if the event loop has
  // not reported that yet. Returns true if the connection is closed. Calls the
  // hook for that before it returns. Costs one or two system calls.
  bool CloseIfCallerLeft();

  // Closes the connection if it has no request in progress.
  void CloseIfIdle();

  // Enforces the timeouts.
  void OnTick(TimePoint now);

  // Returns `body`, that of the request that was just delivered, with its
  // charge to the memory budget.
  std::shared_ptr<const std::string> HoldBody(std::string body);

  // When the first bytes of the current request were received by the system,
  // which is before they were read if the event loop was busy. Valid from the
  // delivery of a request to the end of its response.
  TimePoint request_received() const { return request_received_; }

  // Bytes of the response that are not sent yet.
  size_t pending_bytes() const;
  // Why the connection ended before its response; empty if the caller closed
  // it.
  const std::string& end_error() const { return end_error_; }
  bool IsIdle() const { return state_ == State::kIdle; }

 private:
  enum class State : uint8_t {
    kIdle,        // no byte of the next request received
    kReading,     // receiving a request
    kResponding,  // a request is being served
    kClosing,     // sending the rest of the last response
    kHalfClosed,  // this side has closed the idle connection
    kClosed,
  };

  void OnData(std::string_view bytes);
  void OnEnded(const std::string& error);
  // Reads the requests in `input_` until one of them waits for its response.
  void ReadRequests();
  void ReadRequest();
  void DeliverRequest();
  // Decides whether the rest of the body may be read now. Otherwise pauses
  // reading or rejects the request, and returns false.
  bool AdmitBody();
  // Waits for the room for `bytes`.
  void AwaitRoom(const CallerMemory::HeadClass& head, int64_t bytes);
  void OnRoomGranted(MemoryCharge charge);
  // Handles a connection whose reading is paused: no timeout of a sender
  // applies, but its end is noticed.
  void TickWaiting(TimePoint now);
  void CancelWait();
  void RejectForMemory();
  bool HasLimit() const {
    return shared_->memory.budget != nullptr &&
           shared_->memory.budget->is_limited();
  }
  void ChargeInput();
  void RejectRequest(const HttpFault& read_error);
  // Returns when the system received the bytes that are read now.
  TimePoint ReceiveTime();
  // Appends received bytes to `input_`.
  void AddInput(std::string_view bytes);
  // Returns when the first byte of `input_`, which must not be empty, was
  // received.
  TimePoint InputReceiveTime();
  // Returns the header of a response, including the empty line.
  std::string FormatHead(const HttpResponse& response,
                         std::optional<uint64_t> length);
  // Called after the end of a response. Continues with the next request or
  // closes the connection.
  void FinishResponse();
  // Time for the caller to close its side once it has the last response.
  Duration CloseTimeout() const;
  void Close();

  std::shared_ptr<CallerShared> shared_;
  std::shared_ptr<TcpChannel> channel_;
  std::unique_ptr<RequestReader> reader_;
  std::string input_;
  std::function<void()> disconnected_;
  std::function<void()> drained_;
  std::string end_error_;
  State state_ = State::kIdle;
  bool keeps_alive_ = true;
  bool is_http_1_0_ = false;
  bool is_head_request_ = false;
  bool is_chunked_ = false;
  bool has_sent_continue_ = false;
  bool is_reading_requests_ = false;
  bool has_ended_ = false;
  // The room for the current body was granted.
  bool has_room_ = false;
  // The rest of a rejected request is received and dropped.
  bool discards_request_ = false;
  // Set while the current body waits for its room.
  std::optional<MemoryBudget::WaiterId> waiter_;
  TimePoint wait_end_;
  TimePoint granted_;
  // The received bytes that are not parsed yet, with the header; and the body.
  MemoryCharge input_charge_;
  MemoryCharge body_charge_;
  // When the state was entered, or bytes of the body were last received.
  TimePoint state_start_;
  TimePoint request_received_;
  // The reads that `input_` came from, oldest first: the total of received
  // bytes after each, and when the system received them.
  std::deque<std::pair<uint64_t, TimePoint>> reads_;
  uint64_t received_bytes_ = 0;
  Duration idle_limit_{};
};

}  // namespace papaya

#endif  // SRC_GATEWAY_CALLER_CONNECTION_H_
