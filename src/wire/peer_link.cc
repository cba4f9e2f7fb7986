#include "src/wire/peer_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "src/wire/address.h"
#include "src/wire/peer_frame.h"
#include "src/wire/peer_handshake.h"
#include "src/wire/peer_socket.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
// Frames are written together up to this size.
constexpr size_t kBatchBytes = size_t{64} * 1024;

}  // namespace

PeerLink::PeerLink(asio::io_context& context,
                   const PeerNetwork::Options& options,
                   std::string address,
                   Hooks hooks)
    : context_(context),
      options_(options),
      address_(std::move(address)),
      hooks_(std::move(hooks)),
      wake_(context),
      charge_(options.memory, MemoryKind::kPeers) {}

void PeerLink::Send(const RouterId& router, std::string content) {
  const int64_t bytes = waiting_bytes_ + std::ssize(content);
  if (stopped_ || bytes > options_.max_queued_bytes.value() ||
      content.size() > kMaxPeerFrameBytes ||
      (options_.memory != nullptr &&
       !options_.memory->AdmitsPeers(std::ssize(content)))) {
    hooks_.dropped(content.size());
    return;
  }
  waiting_bytes_ = bytes;
  charge_.Set(bytes);
  waiting_.push_back({.router = router, .content = std::move(content)});
  wake_.cancel();
  if (!std::exchange(is_running_, true)) {
    asio::co_spawn(
        context_,
        [self = shared_from_this()]() -> asio::awaitable<void> {
          co_await self->Run();
        },
        asio::detached);
  }
}

void PeerLink::Stop() {
  stopped_ = true;
  hooks_ = {.sent = [](size_t) {},
            .dropped = [](size_t) {},
            .failed = [](const absl::Status&) {},
            .idle = [] {}};
  wake_.cancel();
  if (socket_ != nullptr) {
    socket_->Close();
  }
}

asio::awaitable<void> PeerLink::Run() {
  Duration backoff = kMinBackoff;
  while (!stopped_) {
    absl::Status status = co_await Open();
    if (status.ok()) {
      backoff = kMinBackoff;
      status = co_await WriteOn();
    }
    socket_ = nullptr;
    if (status.ok()) {
      break;
    }
    if (!stopped_) {
      hooks_.failed(status);
      DropAll();
      co_await Sleep(backoff);
      backoff = std::min(2 * backoff, kMaxBackoff);
    }
    if (waiting_.empty()) {
      break;
    }
  }
  is_running_ = false;
  hooks_.idle();
}

asio::awaitable<absl::Status> PeerLink::Open() {
  const absl::StatusOr<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(address_);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  socket_ = std::make_shared<PeerSocket>(asio::ip::tcp::socket(context_));
  const std::shared_ptr<PeerSocket> socket = socket_;
  const absl::Status connected =
      co_await socket->Connect(*endpoint, options_.handshake_timeout);
  if (!connected.ok()) {
    co_return connected;
  }
  PeerHandshake handshake(PeerHandshake::Role::kDialer, options_.fleet,
                          options_.self, options_.fleet_secret);
  const absl::Status proven =
      co_await socket->Prove(&handshake, options_.handshake_timeout);
  peer_ = handshake.peer();
  co_return proven;
}

asio::awaitable<absl::Status> PeerLink::WriteOn() {
  const std::shared_ptr<PeerSocket> socket = socket_;
  while (!stopped_) {
    std::string batch;
    size_t messages = 0;
    while (!waiting_.empty() && batch.size() < kBatchBytes) {
      const Waiting message = std::move(waiting_.front());
      waiting_.pop_front();
      waiting_bytes_ -= std::ssize(message.content);
      if (!message.router.empty() && message.router != peer_) {
        hooks_.dropped(message.content.size());
        continue;
      }
      batch += MakePeerFrame(message.content);
      ++messages;
      hooks_.sent(message.content.size());
    }
    charge_.Set(waiting_bytes_ + static_cast<int64_t>(batch.capacity()));
    if (messages > 0) {
      const absl::Status written =
          co_await socket->Write(std::move(batch), kWriteTimeout);
      if (!written.ok()) {
        co_return written;
      }
      continue;
    }
    co_await Sleep(options_.idle_timeout);
    if (waiting_.empty()) {
      co_return absl::OkStatus();
    }
  }
  co_return absl::OkStatus();
}

asio::awaitable<void> PeerLink::Sleep(Duration duration) {
  wake_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(duration));
  boost::system::error_code cancelled;
  co_await wake_.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
}

void PeerLink::DropAll() {
  for (const Waiting& message : waiting_) {
    hooks_.dropped(message.content.size());
  }
  waiting_.clear();
  waiting_bytes_ = 0;
  charge_.Set(0);
}

}  // namespace papaya
