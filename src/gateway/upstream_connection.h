#ifndef SRC_GATEWAY_UPSTREAM_CONNECTION_H_
#define SRC_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/units.h"
#include "include/gateway/header_codec.h"
#include "src/gateway/message_reader.h"

namespace papaya {

class TcpChannel;

// A connection to an upstream, which serves one request at a time. Answers to
// other requests, as an upstream may send late or twice, are dropped. One
// thread.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // One request on its way.
  struct Call {
    // Header and body as they go out.
    std::string bytes;
    std::string attempt_id;
    // Its answer has no body.
    bool is_head_request = false;
    // Called in this order; `ended` or `failed` is the last one.
    std::function<void(const ResponseReader&, const ResponseMetadata&)> head;
    std::function<void(const std::string& bytes)> body;
    std::function<void()> ended;
    // `was_sent` if the upstream may have seen the request.
    std::function<void(bool was_sent, const std::string& error)> failed;
  };

  // `dialect` must outlive this.
  UpstreamConnection(boost::asio::io_context& context,
                     const HeaderCodec* header_codec);
  ~UpstreamConnection();

  // Connects to `address` if that was not done, and sends `call`.
  void Send(const std::string& address, Call call);

  // Stops and resumes reading of the answer.
  void SetReading(bool is_reading);

  // Cuts the connection; the call under way is dropped without a word.
  void Close();

  // True if another call may be sent now.
  bool IsReusable(TimePoint now) const;

  // The answer has ended, but the rest of the request still goes out.
  bool IsFinishing() const { return call_ == nullptr && !is_closed_; }

  // It was idle for so long that the upstream may close it.
  bool IsExpired(TimePoint now) const;

  // The upstream may have seen the call under way.
  bool was_sent() const { return was_sent_; }

 private:
  void OnConnected(const std::string& error);
  void SendBytes();
  void OnData(std::string_view bytes);
  void ReadResponses();
  // False if there is nothing more to do for now.
  bool ReadNextResponse();
  bool HandleHead();
  void OnEnded(bool is_orderly, const std::string& error);
  void Finish();
  void Fail(const std::string& error);

  boost::asio::io_context& context_;
  const HeaderCodec* const header_codec_;
  std::shared_ptr<TcpChannel> channel_;
  // Null between calls. A hook may end the call, so whoever calls one holds it.
  std::shared_ptr<Call> call_;
  std::optional<ResponseReader> reader_;
  std::string input_;
  // The answer being read is another request's.
  bool is_mismatched_ = false;
  bool has_head_ = false;
  bool was_sent_ = false;
  bool is_closed_ = false;
  bool closes_after_call_ = false;
  TimePoint idle_since_;
  // Unused connections stay open for so long.
  Duration idle_timeout_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_UPSTREAM_CONNECTION_H_
