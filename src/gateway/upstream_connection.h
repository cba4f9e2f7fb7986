#ifndef SRC_GATEWAY_UPSTREAM_CONNECTION_H_
#define SRC_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/admission/memory_budget.h"
#include "include/base/units.h"
#include "include/gateway/header_codec.h"
#include "src/gateway/message_reader.h"

namespace papaya {

class TcpChannel;

// Why a call got no complete response.
enum class CallFailure : uint8_t {
  kNotSent,    // the upstream has not received the request
  kClosed,     // the upstream closed or reset the connection
  kMalformed,  // the response breaks the protocol or a limit
};

// A connection to an upstream, for one request at a time. Responses to other
// requests, which an upstream may send late or twice, are dropped.
// Single-threaded.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // A request as it is sent. The body is shared, so that it is held once.
  struct RequestBytes {
    std::string head;
    std::shared_ptr<const std::string> body;
  };

  // One request and the hooks for its response.
  struct Call {
    // Returns the header and body to send. Called when they can be sent, which
    // may be long after Send. Returns nothing if the request is no longer
    // wanted; the connection is then closed without calling another hook.
    std::function<std::optional<RequestBytes>()> make_bytes;
    std::string attempt_id;
    // The response has no body.
    bool is_head_request = false;
    // Called first for each response header, also for responses to other
    // requests.
    std::function<void(const ResponseMetadata&)> observed;
    // Called in this order. Either `ended` or `failed` is called last.
    std::function<void(const ResponseReader&, const ResponseMetadata&)> head;
    std::function<void(const std::string& bytes)> body;
    std::function<void()> ended;
    std::function<void(CallFailure failure, const std::string& error)> failed;
  };

  // `context` and `header_codec` must outlive the connection.
  // `memory` may be null.
  UpstreamConnection(boost::asio::io_context& context,
                     const HeaderCodec* header_codec,
                     std::shared_ptr<MemoryBudget> memory = nullptr);
  ~UpstreamConnection();

  // Sends `call`, after connecting to `address` if this is the first call.
  void Send(const std::string& address, Call call);

  // Pauses or resumes reading of the response.
  void SetReading(bool is_reading);

  // Closes the connection and drops the current call without calling its hooks.
  // A call in progress is reset, so that what is unsent of it is discarded.
  void Close();

  // True if another call may be sent at `now`.
  bool IsReusable(TimePoint now) const;

  // True if the connection is open and has no call. Part of the last request
  // may still be unsent if it was answered early.
  bool IsFinishing() const { return call_ == nullptr && !is_closed_; }

  // True if the connection was idle for so long that the upstream may close it.
  bool IsExpired(TimePoint now) const;

  // True if the upstream has rejected the request on this connection. A repeat
  // of it needs another one, because a second copy of the rejection would be
  // taken for the response to the repeat.
  bool HasRejected(const std::string& attempt_id) const;

  // True if the upstream may have received the current call.
  bool was_sent() const { return was_sent_; }

 private:
  void OnConnected(const std::string& error);
  void SendBytes();
  void OnData(std::string_view bytes);
  void ReadResponses();
  // Parses one response. Returns false if more input is needed or the call has
  // ended.
  bool ReadNextResponse();
  bool HandleHead();
  // True if the response is not for the current call.
  bool IsMismatch(const ResponseMetadata& metadata) const;
  // True if the response may be for the current call or for an earlier one.
  bool IsAmbiguous(const ResponseMetadata& metadata) const;
  void OnEnded(bool is_orderly, const std::string& error);
  void Finish();
  void Fail(const std::string& error,
            CallFailure failure = CallFailure::kMalformed);

  boost::asio::io_context& context_;
  const HeaderCodec* const header_codec_;
  const std::shared_ptr<MemoryBudget> memory_;
  std::shared_ptr<TcpChannel> channel_;
  // Null between calls. A hook may end the call, so a copy of the pointer is
  // held while a hook runs.
  std::shared_ptr<Call> call_;
  std::optional<ResponseReader> reader_;
  std::string input_;
  // The received bytes that are not parsed yet.
  MemoryCharge input_charge_;
  // The response being read belongs to another request.
  bool is_mismatched_ = false;
  // Bytes of responses to other requests received during the current call.
  size_t mismatched_bytes_ = 0;
  // The requests that the upstream has rejected on this connection.
  std::vector<std::string> rejected_;
  // Number of calls so far, with the current one.
  int calls_ = 0;
  bool has_head_ = false;
  bool was_sent_ = false;
  bool is_closed_ = false;
  bool closes_after_call_ = false;
  TimePoint idle_since_;
  // Time for which the upstream keeps an idle connection open.
  Duration idle_timeout_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_UPSTREAM_CONNECTION_H_
