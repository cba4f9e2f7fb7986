#include "include/wire/peer_network.h"

#include <rapidcheck/catch.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "src/wire/peer_frame.h"
#include "src/wire/peer_handshake.h"
#include "src/wire/peer_socket.h"
#include "tests/loopback.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

// One router's end; keeps what it receives.
class Peer {
 public:
  Peer(asio::io_context& context,
       const std::string& id,
       const std::string& fleet = "fleet",
       const std::string& secret = "the secret of it") {
    PeerNetwork::Options options;
    options.fleet = FleetId(fleet);
    options.self = RouterId(id);
    options.fleet_secret = secret;
    options.listen_address = "127.0.0.1:0";
    PeerNetwork::Hooks hooks;
    hooks.receive = [this](const RouterId& from, const PeerMessage& message) {
      from_.push_back(from);
      received_.push_back(message);
    };
    hooks.event = [this](const Event& event) { events_.push_back(event); };
    network_ =
        std::make_unique<PeerNetwork>(context, options, std::move(hooks));
    REQUIRE(network_->Start().ok());
  }

  PeerAddress address(const std::string& id = "") const {
    return {.router = RouterId(id),
            .address = LoopbackAddress(network_->port())};
  }

  std::vector<RouterId> from_;
  std::vector<PeerMessage> received_;
  std::vector<Event> events_;
  std::unique_ptr<PeerNetwork> network_;
};

PeerMessage Query(int number) {
  return ClaimQuery{.from = RouterId("a"),
                    .claimer = Incarnation(1),
                    .claim = std::to_string(number)};
}

int NumberOf(const PeerMessage& message) {
  return std::stoi(std::get<ClaimQuery>(message).claim);
}

template <typename Condition>
void RunUntil(asio::io_context& context, Condition condition) {
  while (!condition()) {
    context.run_one();
  }
}

// Sends raw bytes to `peer` and waits until it closes the connection.
void SendRaw(asio::io_context& context,
             const Peer& peer,
             const std::string& bytes) {
  RunOn(context, [&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket socket(context);
    socket.connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                           peer.network_->port()));
    boost::system::error_code error;
    co_await asio::async_write(
        socket, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, error));
    std::string answer;
    co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, error));
  });
}

TEST_CASE("PeerNetwork: carries messages in order, with the proven sender",
          "[wire]") {
  asio::io_context context;
  Peer a(context, "a");
  Peer b(context, "b");
  for (int i = 0; i < 100; ++i) {
    a.network_->Send(b.address("b"), Query(i));
  }
  b.network_->Send(a.address(), Query(7));
  RunUntil(context, [&] {
    return b.received_.size() == 100 && a.received_.size() == 1;
  });
  for (int i = 0; i < 100; ++i) {
    CHECK(NumberOf(b.received_[static_cast<size_t>(i)]) == i);
  }
  CHECK(b.from_.front() == RouterId("a"));
  CHECK(a.from_.front() == RouterId("b"));
}

// Guards against timeouts that outlast their operation. They closed links that
// had been idle for 5 s, so that the next message on them was lost.
TEST_CASE("PeerSocket: stays open after an operation's timeout has passed",
          "[wire]") {
  constexpr std::chrono::milliseconds kTimeout{40};
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::ip::tcp::socket other(context);
  const auto socket =
      std::make_shared<PeerSocket>(asio::ip::tcp::socket(context));
  RunOn(context, [&]() -> asio::awaitable<void> {
    const absl::Status connected =
        co_await socket->Connect(acceptor.local_endpoint(), kTimeout);
    CHECK(connected.ok());
    acceptor.accept(other);
    asio::write(other, asio::buffer(MakePeerFrame("first")));
    const absl::StatusOr<std::string> frame =
        co_await socket->ReadFrame(kTimeout);
    CHECK(frame.ok());
    std::string bytes = MakePeerFrame("second");
    const absl::Status written =
        co_await socket->Write(std::move(bytes), kTimeout);
    CHECK(written.ok());
    asio::steady_timer pause(context, 3 * kTimeout);
    co_await pause.async_wait(asio::use_awaitable);
    bytes = MakePeerFrame("third");
    const absl::Status later =
        co_await socket->Write(std::move(bytes), kTimeout);
    CHECK(later.ok());
  });
}

TEST_CASE("PeerNetwork: refuses another fleet and another secret", "[wire]") {
  asio::io_context context;
  Peer router(context, "a");
  Peer stranger(context, "x", "other fleet");
  Peer liar(context, "y", "fleet", "another secret");
  Peer friendly(context, "b");
  stranger.network_->Send(router.address(), Query(1));
  liar.network_->Send(router.address(), Query(2));
  RunUntil(context, [&] { return router.network_->counts().refused >= 2; });
  friendly.network_->Send(router.address(), Query(3));
  RunUntil(context, [&] { return !router.received_.empty(); });
  REQUIRE(router.received_.size() == 1);
  CHECK(NumberOf(router.received_.front()) == 3);
  CHECK(router.events_.size() >= 2);
}

TEST_CASE(
    "PeerNetwork: a message for a router that is not there any more is "
    "dropped",
    "[wire]") {
  asio::io_context context;
  Peer a(context, "a");
  Peer b(context, "b");
  a.network_->Send(b.address("old-b"), Query(1));
  a.network_->Send(b.address("b"), Query(2));
  RunUntil(context, [&] { return !b.received_.empty(); });
  CHECK(NumberOf(b.received_.front()) == 2);
  CHECK(a.network_->counts().dropped_messages == 1);
}

TEST_CASE(
    "PeerNetwork: what can't be delivered is dropped, and later messages "
    "go through",
    "[wire]") {
  asio::io_context context;
  Peer a(context, "a");
  PeerAddress to;
  {
    Peer gone(context, "b");
    to = gone.address();
  }
  context.poll();
  a.network_->Send(to, Query(1));
  RunUntil(context, [&] { return a.network_->counts().dropped_messages == 1; });
  Peer b(context, "b");
  a.network_->Send(b.address(), Query(2));
  RunUntil(context, [&] { return !b.received_.empty(); });
  CHECK(NumberOf(b.received_.front()) == 2);
}

TEST_CASE("PeerNetwork: broken bytes close their own connection only",
          "[wire][fuzz]") {
  asio::io_context context;
  Peer router(context, "a");
  Peer friendly(context, "b");
  PeerHandshake hello(PeerHandshake::Role::kDialer, FleetId("fleet"),
                      RouterId("c"), "the secret of it");
  const std::vector<std::string> corpus = {
      std::string(8, '\xff'),
      MakePeerFrame(""),
      MakePeerFrame("no hello"),
      MakePeerFrame(hello.Hello()) + MakePeerFrame("no proof"),
      MakePeerFrame(hello.Hello()) + MakePeerFrame(hello.Hello()),
      MakePeerFrame(std::string(kMaxHandshakeBytes + 1, 'a')),
  };
  for (const std::string& bytes : corpus) {
    SendRaw(context, router, bytes);
  }
  friendly.network_->Send(router.address(), Query(3));
  RunUntil(context, [&] { return !router.received_.empty(); });
  CHECK(router.received_.size() == 1);
  CHECK(router.network_->counts().refused == corpus.size());
}

TEST_CASE("PeerFrameReader: gives back the frames however they are split",
          "[wire]") {
  rc::prop("same frames", [](const std::vector<std::string>& contents) {
    std::string bytes;
    for (const std::string& content : contents) {
      bytes += MakePeerFrame(content);
    }
    PeerFrameReader reader(kMaxPeerFrameBytes);
    std::vector<std::string> frames;
    size_t at = 0;
    while (at < bytes.size()) {
      const size_t size = *rc::gen::inRange<size_t>(1, 20);
      reader.Append(bytes.substr(at, size));
      at += size;
      while (true) {
        const absl::StatusOr<std::optional<std::string>> frame = reader.Next();
        RC_ASSERT(frame.ok());
        if (!frame->has_value()) {
          break;
        }
        frames.push_back(**frame);
      }
    }
    RC_ASSERT(frames == contents);
  });
}

TEST_CASE("PeerHandshake: a proof sent back to its maker is refused",
          "[wire]") {
  PeerHandshake dialer(PeerHandshake::Role::kDialer, FleetId("f"),
                       RouterId("a"), "secret");
  PeerHandshake acceptor(PeerHandshake::Role::kAcceptor, FleetId("f"),
                         RouterId("b"), "secret");
  REQUIRE(dialer.CheckHello(acceptor.Hello()).ok());
  REQUIRE(acceptor.CheckHello(dialer.Hello()).ok());
  CHECK(dialer.CheckProof(acceptor.Proof()).ok());
  CHECK(acceptor.CheckProof(dialer.Proof()).ok());
  CHECK(dialer.CheckProof(dialer.Proof()).code() ==
        absl::StatusCode::kPermissionDenied);
}

}  // namespace
}  // namespace papaya
