#ifndef SRC_GATEWAY_TCP_CHANNEL_H_
#define SRC_GATEWAY_TCP_CHANNEL_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/units.h"

namespace papaya {

// A TCP connection that passes received bytes to a hook and queues bytes to
// send. Tries to send at once, so that a small write costs one system call.
// Has no read buffer of its own. Single-threaded.
class TcpChannel : public std::enable_shared_from_this<TcpChannel> {
 public:
  struct Hooks {
    // Bytes were received. The view is valid only during the call.
    std::function<void(std::string_view)> data;
    // The other end has closed its side (`is_orderly`), or the connection
    // broke.
    std::function<void(bool is_orderly, const std::string& error)> ended;
    // All queued bytes were passed to the system.
    std::function<void()> drained;
  };

  // `socket` must be open; it need not be connected.
  explicit TcpChannel(boost::asio::ip::tcp::socket socket);

  // Connects. `connected` gets an error message, which is empty on success. It
  // is not called after Close.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               std::function<void(const std::string& error)> connected);

  // Starts to read.
  void Start(Hooks hooks);

  // Sends `bytes`, or queues them behind the bytes that are not sent yet.
  void Write(std::string_view bytes);

  // Pauses or resumes reading. The sender has to wait while it is paused.
  void SetReading(bool is_reading);

  // Closes the sending side once all queued bytes are sent. Reading goes on.
  void EndWriting();

  // Closes the connection and drops the bytes that are not sent yet. The hooks
  // are not called again.
  void Close();

  // Closes the connection with a TCP reset, so that the other end sees an error
  // instead of an orderly end.
  void Reset();

  // True if the other end has closed its side or the connection broke, also if
  // the event loop has not reported it yet or received bytes are still unread.
  // Costs one or two system calls.
  bool HasPeerEnded();

  // Returns how long ago the system received the last bytes from the other end;
  // empty if it does not tell. Costs one system call.
  std::optional<Duration> TimeSinceReceived();

  bool is_open() const { return socket_.is_open(); }
  size_t pending_bytes() const { return pending_.size() - written_; }
  // The last time when bytes were sent or the queue was empty at a write.
  TimePoint last_progress() const { return last_progress_; }

 private:
  void AwaitInput();
  void ReadInput();
  void AwaitWritable();
  // Sends queued bytes. Returns false if the connection broke.
  bool WritePending();
  void Fail(const std::string& error);
  void End(bool is_orderly, const std::string& error);

  boost::asio::ip::tcp::socket socket_;
  // Never null; replaced by empty hooks when the connection ends.
  std::shared_ptr<const Hooks> hooks_ = std::make_shared<const Hooks>();
  std::string pending_;
  size_t written_ = 0;
  TimePoint last_progress_;
  bool is_reading_ = true;
  bool is_started_ = false;
  bool is_awaiting_input_ = false;
  bool is_awaiting_writable_ = false;
  bool ends_writing_ = false;
  bool has_failed_ = false;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_TCP_CHANNEL_H_
