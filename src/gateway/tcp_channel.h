#ifndef SRC_GATEWAY_TCP_CHANNEL_H_
#define SRC_GATEWAY_TCP_CHANNEL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/admission/memory_budget.h"
#include "include/base/units.h"
#include "src/wire/ack_watch.h"

namespace papaya {

// A TCP connection that passes received bytes to a hook and queues bytes to
// send. Tries to send at once, so that a small write costs one system call.
// Breaks if the peer is dead (see AckWatch), but waits for one that reads
// slowly. Has no read buffer of its own. Single-threaded.
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

  // Charges what the channel holds to `budget`: queued bytes as `pending`, and,
  // if `charges_unread`, the receive queue while reading is paused as kUnread.
  // If the budget is limited, this also bounds the receive queue and the bytes
  // of one read. Call before Start.
  void SetMemory(const std::shared_ptr<MemoryBudget>& budget,
                 MemoryKind pending,
                 bool charges_unread);

  // Sends `bytes`, or queues them behind the bytes that are not sent yet.
  void Write(std::string_view bytes);

  // Sends `head`, then `body`, which may be null. What is queued of the body is
  // shared, not copied or charged.
  void Write(std::string_view head, std::shared_ptr<const std::string> body);

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
  size_t pending_bytes() const { return pending_bytes_; }
  // The last time when the peer acknowledged bytes, bytes were passed to the
  // system, or the queue was empty at a write. Late by up to
  // AckWatch::kCheckInterval.
  TimePoint last_progress() const { return last_progress_; }

 private:
  // Queued bytes, either shared or the channel's own.
  struct Segment {
    std::shared_ptr<const std::string> shared;
    std::string own;
    std::string_view bytes() const {
      return shared != nullptr ? std::string_view(*shared) : own;
    }
  };

  void QueueCopy(std::string_view bytes);
  void QueueShared(std::shared_ptr<const std::string> bytes);
  // Drops `count` bytes from the front of the queue, which were sent.
  void PopSent(size_t count);
  void AwaitInput();
  void ReadInput();
  void AwaitWritable();
  // Sends queued bytes. Returns false if the connection broke.
  bool WritePending();
  // Passes at least one buffer to the system and returns the bytes taken.
  template <typename Buffers>
  size_t WriteSome(const Buffers& buffers, boost::system::error_code* error);
  // Leaves the detection of a dead peer to AckWatch, if the system tells what
  // the peer has acknowledged.
  void StartAckWatch();
  void AwaitAckCheck(Duration delay);
  void CheckAcks();
  void Fail(const std::string& error);
  void End(bool is_orderly, const std::string& error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer ack_timer_;
  AckWatch ack_watch_;
  bool watches_acks_ = false;
  // Bytes that the system has taken so far.
  int64_t taken_bytes_ = 0;
  // Never null; replaced by empty hooks when the connection ends.
  std::shared_ptr<const Hooks> hooks_ = std::make_shared<const Hooks>();
  std::list<Segment> pending_;
  // Bytes of the first segment that were sent.
  size_t written_ = 0;
  size_t pending_bytes_ = 0;
  // The memory of the channel's own segments.
  int64_t own_bytes_ = 0;
  MemoryCharge pending_charge_;
  MemoryCharge unread_charge_;
  bool charges_unread_ = false;
  size_t read_bytes_;
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
