#include "src/wire/peer_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "include/base/error.h"
#include "include/wire/steady_time.h"
#include "src/wire/address.h"
#include "src/wire/peer_ack_sender.h"
#include "src/wire/peer_frame.h"
#include "src/wire/peer_handshake.h"
#include "src/wire/peer_socket.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
// A connection on which nothing is to be acknowledged may be quiet for ever.
constexpr Duration kNoTimeout = std::chrono::hours(24 * 365);
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
      charge_(options.memory, MemoryKind::kPeers),
      liveness_(options.ack_timeout) {}

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
            .renewed = [](const RouterId&, Duration) {},
            .idle = [] {}};
  wake_.cancel();
  if (dialing_ != nullptr) {
    dialing_->Close();
  }
  if (connection_.socket != nullptr) {
    connection_.socket->Close();
  }
}

asio::awaitable<void> PeerLink::Run() {
  Duration backoff = kMinBackoff;
  while (!stopped_) {
    absl::StatusOr<Connection> opened = co_await Open();
    const bool was_open = opened.ok();
    absl::Status status = opened.status();
    if (was_open) {
      backoff = kMinBackoff;
      Use(*std::move(opened));
      status = co_await WriteOn();
      connection_.socket->Close();
      connection_ = {};
    }
    if (status.ok()) {
      break;
    }
    if (!stopped_) {
      hooks_.failed(status);
      if (!was_open) {
        DropAll();
      }
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

asio::awaitable<absl::StatusOr<PeerLink::Connection>> PeerLink::Open() {
  const absl::StatusOr<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(address_);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  const auto socket =
      std::make_shared<PeerSocket>(asio::ip::tcp::socket(context_));
  dialing_ = socket;
  PeerHandshake handshake(PeerHandshake::Role::kDialer, options_.fleet,
                          options_.self, options_.fleet_secret);
  absl::Status status =
      co_await socket->Connect(*endpoint, options_.handshake_timeout);
  if (status.ok()) {
    status = co_await socket->Prove(&handshake, options_.handshake_timeout);
  }
  dialing_ = nullptr;
  if (!status.ok()) {
    co_return status;
  }
  co_return Connection{.socket = socket,
                       .peer = handshake.peer(),
                       .acknowledges = handshake.peer_acknowledges()};
}

void PeerLink::Use(Connection connection) {
  connection_ = std::move(connection);
  has_ended_ = false;
  liveness_ = PeerLiveness(options_.ack_timeout);
  asio::co_spawn(
      context_,
      [self = shared_from_this(), socket = connection_.socket]()
          -> asio::awaitable<void> { co_await self->ReadAcks(socket); },
      asio::detached);
}

asio::awaitable<void> PeerLink::ReadAcks(std::shared_ptr<PeerSocket> socket) {
  while (true) {
    const absl::StatusOr<std::string> frame =
        co_await socket->ReadFrame(kNoTimeout);
    if (connection_.socket != socket) {
      break;
    }
    if (!frame.ok()) {
      has_ended_ = true;
      wake_.cancel();
      break;
    }
    const std::optional<uint64_t> frames = ParsePeerAck(*frame);
    if (!frames.has_value()) {
      continue;
    }
    liveness_.OnAcknowledged(*frames, SteadyNow());
    if (dialing_ != nullptr) {
      // The other end is only slow.
      dialing_->Close();
    }
  }
}

asio::awaitable<absl::Status> PeerLink::WriteOn() {
  TimePoint last_use = SteadyNow();
  while (!stopped_) {
    const TimePoint now = SteadyNow();
    const std::optional<TimePoint> silent_at =
        connection_.acknowledges ? liveness_.SilentAt() : std::nullopt;
    if (has_ended_) {
      co_return MakeError(absl::StatusCode::kUnavailable,
                          {.step = "peer.write", .peer = address_},
                          "the connection was closed");
    }
    absl::Status status;
    if (silent_at.has_value() && now >= *silent_at) {
      status = co_await Renew();
    } else if (!waiting_.empty()) {
      last_use = now;
      status = co_await WriteBatch();
    } else if (!silent_at.has_value() &&
               now - last_use >= options_.idle_timeout) {
      break;
    } else {
      const TimePoint idle_at = last_use + options_.idle_timeout;
      co_await Sleep(silent_at.value_or(idle_at) - now);
    }
    if (!status.ok()) {
      co_return status;
    }
  }
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> PeerLink::WriteBatch() {
  std::string batch;
  uint64_t messages = 0;
  while (!waiting_.empty() && batch.size() < kBatchBytes) {
    const Waiting message = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= std::ssize(message.content);
    if (!message.router.empty() && message.router != connection_.peer) {
      hooks_.dropped(message.content.size());
      continue;
    }
    batch += MakePeerFrame(message.content);
    ++messages;
    hooks_.sent(message.content.size());
  }
  charge_.Set(waiting_bytes_ + static_cast<int64_t>(batch.capacity()));
  if (messages == 0) {
    co_return absl::OkStatus();
  }
  liveness_.OnSent(messages, SteadyNow());
  const std::shared_ptr<PeerSocket> socket = connection_.socket;
  co_return co_await socket->Write(std::move(batch), kWriteTimeout);
}

asio::awaitable<absl::Status> PeerLink::Renew() {
  const uint64_t acknowledged = liveness_.acknowledged();
  absl::StatusOr<Connection> opened = co_await Open();
  if (liveness_.acknowledged() != acknowledged && !has_ended_) {
    if (opened.ok()) {
      opened->socket->Close();
    }
    co_return absl::OkStatus();
  }
  connection_.socket->Close();
  if (!opened.ok()) {
    co_return opened.status();
  }
  hooks_.renewed(opened->peer, liveness_.Silence(SteadyNow()));
  Use(*std::move(opened));
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
