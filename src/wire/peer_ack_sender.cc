#include "src/wire/peer_ack_sender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "absl/status/status.h"
#include "src/wire/peer_frame.h"
#include "src/wire/peer_socket.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr size_t kAckBytes = 8;
constexpr int kAckByteBits = 8;
constexpr Duration kAckWriteTimeout = std::chrono::seconds(5);

}  // namespace

std::string MakePeerAck(uint64_t frames) {
  std::string content;
  for (size_t i = 0; i < kAckBytes; ++i) {
    content += static_cast<char>(frames >> (kAckByteBits * i));
  }
  return content;
}

std::optional<uint64_t> ParsePeerAck(const std::string& content) {
  if (content.size() != kAckBytes) {
    return std::nullopt;
  }
  uint64_t frames = 0;
  for (size_t i = 0; i < kAckBytes; ++i) {
    const uint64_t byte = static_cast<unsigned char>(content[i]);
    frames |= byte << (kAckByteBits * i);
  }
  return frames;
}

PeerAckSender::PeerAckSender(std::shared_ptr<PeerSocket> socket,
                             const asio::any_io_executor& executor)
    : socket_(std::move(socket)), executor_(executor), timer_(executor) {}

PeerAckSender::~PeerAckSender() = default;

void PeerAckSender::OnFrame() {
  ++received_;
  if (stopped_ || std::exchange(is_running_, true)) {
    return;
  }
  asio::co_spawn(
      executor_,
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->Run();
      },
      asio::detached);
}

void PeerAckSender::Stop() {
  stopped_ = true;
  timer_.cancel();
}

asio::awaitable<void> PeerAckSender::Run() {
  while (!stopped_ && acknowledged_ != received_) {
    acknowledged_ = received_;
    std::string frame = MakePeerFrame(MakePeerAck(acknowledged_));
    const absl::Status written =
        co_await socket_->Write(std::move(frame), kAckWriteTimeout);
    if (!written.ok()) {
      socket_->Close();
      stopped_ = true;
      break;
    }
    timer_.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(kInterval));
    boost::system::error_code cancelled;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
  is_running_ = false;
}

}  // namespace papaya
