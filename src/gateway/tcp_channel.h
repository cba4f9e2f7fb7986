#ifndef SRC_GATEWAY_TCP_CHANNEL_H_
#define SRC_GATEWAY_TCP_CHANNEL_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "include/base/units.h"

namespace papaya {

// One TCP connection: bytes in through a hook, bytes out through a queue. Tries
// to write at once, so that a small piece costs one system call. Keeps no
// buffer while it waits for input. One thread.
class TcpChannel : public std::enable_shared_from_this<TcpChannel> {
 public:
  struct Hooks {
    // Bytes have come; they are gone after the call.
    std::function<void(std::string_view)> data;
    // The other end has ended its side, or the connection broke.
    std::function<void(bool is_orderly, const std::string& error)> ended;
    // All that was written has gone to the system.
    std::function<void()> drained;
  };

  // `socket` is open; connected or not.
  explicit TcpChannel(boost::asio::ip::tcp::socket socket);

  // Connects; `connected` gets an empty text, or what went wrong. Not called
  // after Close.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               std::function<void(const std::string& error)> connected);

  // Begins to read.
  void Start(Hooks hooks);

  // Sends `bytes` after all that was written before.
  void Write(std::string_view bytes);

  // Stops and resumes reading, so that a sender has to wait.
  void SetReading(bool is_reading);

  // Ends this side once all is written; the other side goes on.
  void EndWriting();

  // Drops the connection without a word of what was not sent; hooks are not
  // called again.
  void Close();

  // As Close, and the other end sees a broken connection, not an ended one.
  void Reset();

  bool is_open() const { return socket_.is_open(); }
  size_t pending_bytes() const { return pending_.size() - written_; }
  // When bytes last went out, or there was nothing to send.
  TimePoint last_progress() const { return last_progress_; }

 private:
  void AwaitInput();
  void ReadInput();
  void AwaitWritable();
  // False if the connection broke.
  bool WritePending();
  void Fail(const std::string& error);
  void End(bool is_orderly, const std::string& error);

  boost::asio::ip::tcp::socket socket_;
  // Never null; replaced when the connection ends.
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
