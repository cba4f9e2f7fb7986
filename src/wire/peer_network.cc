#include "include/wire/peer_network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/wire/peer_codec.h"
#include "src/wire/address.h"
#include "src/wire/peer_ack_sender.h"
#include "src/wire/peer_handshake.h"
#include "src/wire/peer_link.h"
#include "src/wire/peer_socket.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// An inbound connection may be quiet for this many idle times of the sender.
constexpr int kInboundIdleFactor = 2;

}  // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, Options options, Hooks hooks)
      : context_(context),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        acceptor_(context) {}

  absl::Status Listen() {
    const absl::StatusOr<uint16_t> port =
        ListenAt(options_.listen_address, "peer.listen", &acceptor_);
    if (!port.ok()) {
      return port.status();
    }
    port_ = *port;
    Accept();
    return absl::OkStatus();
  }

  uint16_t port() const { return port_; }
  const Counts& counts() const { return counts_; }

  void Send(const PeerAddress& to, const PeerMessage& message) {
    if (stopped_ || to.address.empty()) {
      return;
    }
    std::shared_ptr<PeerLink>& link = links_[to.address];
    if (link == nullptr) {
      link = std::make_shared<PeerLink>(context_, options_, to.address,
                                        MakeLinkHooks(to.address));
    }
    link->Send(to.router, EncodePeerMessage(message));
  }

  void Stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (auto& [address, link] : links_) {
      link->Stop();
    }
    for (auto& [id, socket] : inbound_) {
      socket->Close();
    }
  }

 private:
  PeerLink::Hooks MakeLinkHooks(const std::string& address) {
    PeerLink::Hooks hooks;
    hooks.sent = [this](size_t bytes) {
      ++counts_.sent_messages;
      counts_.sent_bytes += bytes;
    };
    hooks.dropped = [this](size_t) { ++counts_.dropped_messages; };
    hooks.failed = [this, address](const absl::Status& status) {
      if (absl::IsPermissionDenied(status)) {
        Refuse(address, status);
      }
    };
    hooks.renewed = [this, address](const RouterId& peer, Duration silence) {
      ++counts_.renewed;
      Event event{.id = EventId::kPeerSilent};
      event.fields = {{"peer", peer.value()},
                      {"address", address},
                      {"silent_ms",
                       std::to_string(silence / std::chrono::milliseconds(1))}};
      hooks_.event(event);
    };
    hooks.idle = [this, address] { links_.erase(address); };
    return hooks;
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error,
                                    asio::ip::tcp::socket socket) {
          if (self->stopped_ || error == asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            self->OnAccepted(std::move(socket));
          }
          self->Accept();
        });
  }

  void OnAccepted(asio::ip::tcp::socket socket) {
    if (std::ssize(inbound_) >= options_.max_inbound) {
      ++counts_.refused;
      return;
    }
    const uint64_t id = next_inbound_++;
    const auto peer = std::make_shared<PeerSocket>(std::move(socket));
    peer->SetMemory(options_.memory);
    inbound_[id] = peer;
    asio::co_spawn(
        context_,
        [self = shared_from_this(), peer, id]() -> asio::awaitable<void> {
          co_await self->Receive(peer);
          peer->Close();
          self->inbound_.erase(id);
        },
        asio::detached);
  }

  asio::awaitable<void> Receive(std::shared_ptr<PeerSocket> socket) {
    PeerHandshake handshake(PeerHandshake::Role::kAcceptor, options_.fleet,
                            options_.self, options_.fleet_secret);
    absl::Status status =
        co_await socket->Prove(&handshake, options_.handshake_timeout);
    const auto acks =
        std::make_shared<PeerAckSender>(socket, context_.get_executor());
    while (status.ok() && !stopped_) {
      const absl::StatusOr<std::string> frame = co_await socket->ReadFrame(
          kInboundIdleFactor * options_.idle_timeout);
      status = frame.status();
      if (frame.ok()) {
        acks->OnFrame();
        status = Take(handshake.peer(), *frame);
      }
    }
    acks->Stop();
    if (!stopped_ && !absl::IsUnavailable(status) &&
        !absl::IsDeadlineExceeded(status)) {
      Refuse(handshake.peer().value(), status);
    }
  }

  absl::Status Take(const RouterId& from, const std::string& frame) {
    const absl::StatusOr<PeerMessage> message = DecodePeerMessage(frame);
    if (absl::IsUnimplemented(message.status())) {
      return absl::OkStatus();
    }
    if (!message.ok()) {
      return message.status();
    }
    ++counts_.received_messages;
    counts_.received_bytes += frame.size();
    if (!stopped_) {
      hooks_.receive(from, *message);
    }
    return absl::OkStatus();
  }

  void Refuse(const std::string& peer, const absl::Status& status) {
    ++counts_.refused;
    Event event{.id = EventId::kPeerRefused};
    event.fields = {{"peer", peer}, {"error", std::string(status.message())}};
    hooks_.event(event);
  }

  asio::io_context& context_;
  const Options options_;
  const Hooks hooks_;
  asio::ip::tcp::acceptor acceptor_;
  uint16_t port_ = 0;
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
  std::map<uint64_t, std::shared_ptr<PeerSocket>> inbound_;
  uint64_t next_inbound_ = 0;
  Counts counts_;
  bool stopped_ = false;
};

PeerNetwork::PeerNetwork(asio::io_context& context,
                         Options options,
                         Hooks hooks)
    : impl_(std::make_shared<Impl>(context,
                                   std::move(options),
                                   std::move(hooks))) {}

PeerNetwork::~PeerNetwork() {
  Stop();
}

absl::Status PeerNetwork::Start() {
  return impl_->Listen();
}

uint16_t PeerNetwork::port() const {
  return impl_->port();
}

void PeerNetwork::Send(const PeerAddress& to, const PeerMessage& message) {
  impl_->Send(to, message);
}

void PeerNetwork::Stop() {
  impl_->Stop();
}

PeerNetwork::Counts PeerNetwork::counts() const {
  return impl_->counts();
}

}  // namespace papaya
