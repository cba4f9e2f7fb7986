// A router whose callers, upstreams, store or neighbours make it hold more than
// its memory limit allows.

#include <malloc.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "include/wire/peer_network.h"
#include "platform/store_client.h"
#include "src/gateway/upstream_connection.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

constexpr size_t kLargeBody = 4'000'000;
constexpr int kManySlots = 500;

std::string Head(const std::string& path,
                 const std::string& attempt,
                 size_t body_bytes) {
  return absl::StrCat(
      "POST ", path, " HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: ", attempt,
      "\r\nPapayaarch-Deadline-Ms: 60000\r\n",
      "Authorization: Token secret\r\nContent-Length: ", body_bytes,
      "\r\n\r\n");
}

std::string Request(const std::string& path,
                    const std::string& attempt,
                    size_t body_bytes) {
  return Head(path, attempt, body_bytes) + std::string(body_bytes, 'b');
}

std::string ValueAfter(const std::string& text, const std::string& name) {
  const size_t at = text.find(name);
  REQUIRE(at != std::string::npos);
  const size_t begin = at + name.size();
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

// Two routes, /p/ of the lower tier and /up/ of the upper one, whose upstreams
// answer each request with `response_bytes`.
class MemoryFixture : public GatewayFixture {
 public:
  MemoryFixture(RequestKind kind, int64_t memory_mb, size_t response_bytes = 2)
      : GatewayFixture(kind, /*is_resumable=*/false, memory_mb),
        response_bytes_(response_bytes) {
    ServiceRoute upper = route;
    upper.id = RouteId("upper");
    upper.path_prefix = "/up/";
    upper.priority = 0;
    route.priority = 1;
    more_routes = {upper};
    PublishRoute();
    for (UpstreamRecord& record : records) {
      record.slots = kManySlots;
    }
    PublishUpstreams();
  }

  // Runs until `done` returns true. Upstreams answer unless they are paused.
  void ServeUntil(const std::function<bool()>& done) {
    RunUntil([&] {
      Serve();
      return done();
    });
  }

  void SetUpstreamsReading(bool is_reading) {
    is_serving_ = is_reading;
    for (const std::unique_ptr<RawUpstream>& upstream : upstreams) {
      for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
        peer->SetReading(is_reading);
      }
    }
  }

  // Number of requests that upstreams have answered.
  size_t ran = 0;

 private:
  void Serve() {
    for (const std::unique_ptr<RawUpstream>& upstream : upstreams) {
      for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
        if (!is_serving_) {
          peer->SetReading(false);
        }
        ServePeer(peer.get());
      }
    }
  }

  void ServePeer(RawPeer* peer) {
    const size_t end = peer->received.find("\r\n\r\n");
    if (end == std::string::npos || !is_serving_ || peer->has_ended) {
      return;
    }
    size_t length = 0;
    REQUIRE(absl::SimpleAtoi(ValueAfter(peer->received, "Content-Length: "),
                             &length));
    if (peer->received.size() < end + 4 + length) {
      return;
    }
    const std::string attempt =
        ValueAfter(peer->received, "Papayaarch-Attempt-Id: ");
    peer->received.clear();
    ++ran;
    peer->Send(absl::StrCat("HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: ",
                            attempt, "\r\nContent-Length: ", response_bytes_,
                            "\r\n\r\n", std::string(response_bytes_, 'r')));
  }

  const size_t response_bytes_;
  bool is_serving_ = true;
};

bool IsServed(const RawPeer& caller, size_t response_bytes) {
  const size_t end = caller.received.find("\r\n\r\n");
  return caller.received.starts_with("HTTP/1.1 200") &&
         caller.received.size() == end + 4 + response_bytes;
}

bool IsRejected(const RawPeer& caller) {
  return caller.received.starts_with("HTTP/1.1 503") &&
         Has(caller.received, "Retry-After: ") &&
         Has(caller.received, "memory_short");
}

size_t CountServed(const std::vector<std::unique_ptr<RawPeer>>& callers,
                   size_t response_bytes = 2) {
  size_t count = 0;
  for (const std::unique_ptr<RawPeer>& caller : callers) {
    count += IsServed(*caller, response_bytes) ? 1 : 0;
  }
  return count;
}

// Sends a small request of the upper tier and waits until it is served.
void CheckSmallIsServed(MemoryFixture* f, size_t response_bytes = 2) {
  const std::unique_ptr<RawPeer> small =
      f->Call(Request("/up/x", "small", 600));
  f->ServeUntil([&] { return !small->received.empty(); });
  CHECK(small->received.starts_with("HTTP/1.1 200"));
  f->ServeUntil([&] { return IsServed(*small, response_bytes); });
}

std::vector<std::unique_ptr<RawPeer>> SendLargeBodies(MemoryFixture* f,
                                                      size_t count) {
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < count; ++i) {
    callers.push_back(
        f->Call(Request("/p/x", absl::StrCat("large", i), kLargeBody)));
  }
  return callers;
}

// 30 callers with bodies of 4,000,000 bytes ended routers with 110 MB
// (review/2).
TEST_CASE("Gateway memory: many large bodies at once", "[memory]") {
  const int64_t limit = GENERATE(88, 110, 512);
  MemoryFixture f(RequestKind::kNonIdempotent, limit);
  const std::vector<std::unique_ptr<RawPeer>> callers = SendLargeBodies(&f, 30);
  CheckSmallIsServed(&f);
  const auto answered = [&] {
    size_t count = 0;
    for (const std::unique_ptr<RawPeer>& caller : callers) {
      count += IsServed(*caller, 2) || IsRejected(*caller) ? 1 : 0;
    }
    return count;
  };
  f.ServeUntil([&] { return answered() == callers.size(); });
  CHECK(f.memory->peak() <= f.memory->capacity());
  CHECK(CountServed(callers) >= 25);
  CHECK(f.ran == CountServed(callers) + 1);
  CHECK((f.memory->paused() > 0) == (limit < 512));
}

// Guards against a second or third copy of a body while it is relayed. Reads
// the process's own memory, so the test's callers and upstream share one copy.
TEST_CASE("Gateway memory: a body is held once", "[memory]") {
  MemoryFixture f(RequestKind::kNonIdempotent, 512);
  f.SetUpstreamsReading(false);
  const std::unique_ptr<RawPeer> caller =
      f.Call(Request("/p/x", "a", kLargeBody));
  f.ServeUntil([&] {
    return f.memory->used(MemoryKind::kRequests) > Bytes(kLargeBody);
  });
  const TimePoint end = SteadyNow() + milliseconds(50);
  f.ServeUntil([&] { return SteadyNow() > end; });
  CHECK(f.memory->used() < Bytes(kLargeBody + 300'000));
  f.SetUpstreamsReading(true);
  f.ServeUntil([&] { return IsServed(*caller, 2); });
}

TEST_CASE("Gateway memory: the process grows by what is charged", "[memory]") {
  const auto resident = [] {
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    int64_t total = 0;
    int64_t pages = 0;
    file >> total >> pages;
    return pages * sysconf(_SC_PAGESIZE);
  };
  constexpr size_t kCallers = 5;
  MemoryFixture f(RequestKind::kNonIdempotent, 110);
  f.SetUpstreamsReading(false);
  std::vector<std::unique_ptr<RawPeer>> callers;
  // Without the last byte, so that the bodies stay incomplete.
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(f.Call(Head("/p/x", absl::StrCat(i), kLargeBody)));
  }
  const int64_t before = resident();
  const std::string piece(kLargeBody / 100, 'b');
  for (size_t sent = 0; sent + 1 < 100; ++sent) {
    for (const std::unique_ptr<RawPeer>& caller : callers) {
      caller->Send(piece);
    }
    f.ServeUntil([&] {
      size_t pending = 0;
      for (const std::unique_ptr<RawPeer>& caller : callers) {
        pending += caller->pending_bytes();
      }
      return pending == 0;
    });
  }
  const int64_t growth = resident() - before;
  INFO("growth " << growth << ", charged " << f.memory->used().value());
  CHECK(growth > 0);
  CHECK(growth < f.memory->used().value() * 13 / 10);
}

TEST_CASE("Gateway memory: callers that wait for room", "[memory]") {
  MemoryFixture f(RequestKind::kNonIdempotent, 110);
  MemoryCharge held(f.memory, MemoryKind::kRequests,
                    f.memory->capacity().value() * 6 / 10);
  const std::unique_ptr<RawPeer> leaving =
      f.Call(Request("/p/x", "leaving", kLargeBody));
  f.ServeUntil([&] { return f.memory->waiting() == 1; });

  SECTION("are noticed when they leave") {
    leaving->Close();
    f.ServeUntil([&] { return f.listener.connections() == 0; });
    CHECK(f.memory->waiting() == 0);
  }
  SECTION("are not closed by the timeouts of senders") {
    // Later than the timeouts for headers and bodies.
    f.listener.OnTick(SteadyNow() + milliseconds(3500));
    CHECK(f.memory->waiting() == 1);
    held.Set(0);
    f.ServeUntil([&] { return IsServed(*leaving, 2); });
  }
  SECTION("are rejected once they have waited too long") {
    f.listener.OnTick(SteadyNow() + std::chrono::seconds(30));
    f.ServeUntil([&] { return IsRejected(*leaving); });
    CHECK(f.memory->waiting() == 0);
    CHECK(f.reports.empty());
  }
  SECTION("don't delay small requests") {
    CheckSmallIsServed(&f);
  }
  SECTION("with an announced body get no 100 Continue") {
    const std::string head = Head("/p/x", "expects", kLargeBody);
    const std::unique_ptr<RawPeer> expects = f.Call(
        head.substr(0, head.size() - 2) + "Expect: 100-continue\r\n\r\n");
    f.ServeUntil([&] { return f.memory->waiting() == 2; });
    CHECK(expects->received.empty());
    held.Set(0);
    f.ServeUntil([&] { return Has(expects->received, "100 Continue"); });
  }
}

// A body without a length must reserve room, too, and must not keep more than
// it needs.
TEST_CASE("Gateway memory: chunked bodies reserve room", "[memory]") {
  MemoryFixture f(RequestKind::kNonIdempotent, 110);
  const std::unique_ptr<RawPeer> caller = f.Call(
      "POST /p/x HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: a\r\n"
      "Authorization: Token secret\r\nTransfer-Encoding: chunked\r\n\r\n");
  caller->Send(Chunk(std::string(100'000, 'c')));
  f.ServeUntil(
      [&] { return f.memory->used(MemoryKind::kReading) > Bytes(4'000'000); });
  f.SetUpstreamsReading(false);
  caller->Send("0\r\n\r\n");
  f.ServeUntil(
      [&] { return f.memory->used(MemoryKind::kRequests) > Bytes(0); });
  CHECK(f.memory->used() < Bytes(400'000));
  f.SetUpstreamsReading(true);
  f.ServeUntil([&] { return IsServed(*caller, 2); });
}

TEST_CASE("Gateway memory: rejects lower tiers before their bodies",
          "[memory]") {
  MemoryFixture f(RequestKind::kNonIdempotent, 110);
  const MemoryCharge held(f.memory, MemoryKind::kResponses,
                          f.memory->capacity().value() * 80 / 100);
  const std::unique_ptr<RawPeer> large =
      f.Call(Head("/p/x", "large", kLargeBody));
  const std::unique_ptr<RawPeer> small = f.Call(Head("/p/x", "small", 600));
  const std::unique_ptr<RawPeer> whole = f.Call(Request("/p/x", "whole", 600));
  f.ServeUntil([&] {
    return IsRejected(*large) && IsRejected(*small) && IsRejected(*whole);
  });
  CheckSmallIsServed(&f);
  CHECK(f.ran == 1);
  CHECK(f.memory->rejected() == 3);
  REQUIRE(f.memory_changes.size() == 1);
  CHECK(f.memory_changes.front() == MemoryBudget::Change::kRejecting);
}

// Incomplete heads of long lines, whose tier is never known.
TEST_CASE("Gateway memory: many incomplete heads", "[memory]") {
  const int64_t limit = GENERATE(88, 110);
  MemoryFixture f(RequestKind::kNonIdempotent, limit);
  std::string head = "POST /p/x HTTP/1.1\r\nHost: h\r\n";
  while (head.size() < 15'000) {
    head += "a:\r\n";
  }
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < 99; ++i) {
    callers.push_back(f.Call(head));
  }
  MemoryCharge held(f.memory, MemoryKind::kResponses,
                    f.memory->capacity().value() * 85 / 100);
  f.ServeUntil([&] { return f.memory->used(MemoryKind::kReading) > Bytes(0); });
  const TimePoint end = SteadyNow() + milliseconds(200);
  f.ServeUntil([&] { return SteadyNow() > end; });
  CHECK(f.memory->peak() <= f.memory->capacity());
  held.Set(0);
  callers.pop_back();
  f.ServeUntil([&] { return f.listener.connections() < 99; });
  CheckSmallIsServed(&f);
}

// The budget is used up by callers that take nothing of their responses. What
// runs meanwhile must still be delivered, to the slow callers, too.
TEST_CASE("Gateway memory: slow callers lose no response that has run",
          "[memory]") {
  const int64_t limit = GENERATE(88, 110, 512);
  constexpr size_t kResponse = 3'000'000;
  MemoryFixture f(RequestKind::kNonIdempotent, limit, kResponse);
  std::vector<std::unique_ptr<RawPeer>> slow;
  for (size_t i = 0; i < 20; ++i) {
    slow.push_back(f.Call(Request("/p/x", absl::StrCat("slow", i), 600)));
    slow.back()->SetReading(false);
  }
  f.ServeUntil([&] { return f.ran == slow.size(); });
  const std::unique_ptr<RawPeer> last = f.Call(Request("/up/x", "last", 600));
  f.ServeUntil([&] { return f.ran == slow.size() + 1; });
  // As if many more callers were slow.
  MemoryCharge held(f.memory, MemoryKind::kResponses);
  held.Set(f.memory->capacity().value() - f.memory->used().value());
  const std::unique_ptr<RawPeer> rejected = f.Call(Request("/up/x", "no", 600));
  f.ServeUntil([&] { return IsRejected(*rejected); });
  f.ServeUntil([&] { return IsServed(*last, kResponse); });
  for (const std::unique_ptr<RawPeer>& caller : slow) {
    caller->SetReading(true);
  }
  f.ServeUntil([&] { return CountServed(slow, kResponse) == slow.size(); });
  CHECK(f.ran == slow.size() + 1);
}

// All sources together, with small requests among them.
TEST_CASE("Gateway memory: all sources together", "[memory]") {
  const int64_t limit = GENERATE(88, 110, 512);
  constexpr size_t kResponse = 600'000;
  MemoryFixture f(RequestKind::kNonIdempotent, limit, kResponse);
  std::vector<std::unique_ptr<RawPeer>> slow;
  for (size_t i = 0; i < 15; ++i) {
    slow.push_back(f.Call(Request("/p/x", absl::StrCat("slow", i), 600)));
    slow.back()->SetReading(false);
  }
  std::vector<std::unique_ptr<RawPeer>> heads;
  for (size_t i = 0; i < 15; ++i) {
    heads.push_back(f.Call("POST /p/x HTTP/1.1\r\nHost: h\r\nX: " +
                           std::string(12'000, 'x')));
  }
  const std::vector<std::unique_ptr<RawPeer>> large = SendLargeBodies(&f, 25);
  MemoryCharge store(f.memory, MemoryKind::kStore, 2'000'000);
  MemoryCharge peers(f.memory, MemoryKind::kPeers, 2'000'000);
  f.SetUpstreamsReading(false);
  const TimePoint end = SteadyNow() + milliseconds(300);
  f.ServeUntil([&] { return SteadyNow() > end; });
  f.SetUpstreamsReading(true);
  for (int i = 0; i < 5; ++i) {
    CheckSmallIsServed(&f, kResponse);
  }
  for (const std::unique_ptr<RawPeer>& caller : slow) {
    caller->SetReading(true);
  }
  size_t served = 0;
  f.ServeUntil([&] {
    served = CountServed(large, kResponse) + CountServed(slow, kResponse);
    size_t rejected = 0;
    for (const std::unique_ptr<RawPeer>& caller : large) {
      rejected += IsRejected(*caller) ? 1 : 0;
    }
    for (const std::unique_ptr<RawPeer>& caller : slow) {
      rejected += IsRejected(*caller) ? 1 : 0;
    }
    return served + rejected == large.size() + slow.size();
  });
  CHECK(f.memory->peak() <= f.memory->capacity());
  CHECK(f.ran == served + 5);
  CHECK(CountServed(slow, kResponse) == slow.size());
}

// Bodies that upstreams don't take stay charged, so that further ones wait.
TEST_CASE("Gateway memory: slow upstreams", "[memory]") {
  const int64_t limit = GENERATE(88, 110, 512);
  MemoryFixture f(RequestKind::kNonIdempotent, limit);
  f.SetUpstreamsReading(false);
  const std::vector<std::unique_ptr<RawPeer>> callers = SendLargeBodies(&f, 25);
  const TimePoint end = SteadyNow() + milliseconds(300);
  f.ServeUntil([&] { return SteadyNow() > end; });
  CHECK((f.memory->waiting() > 0) == (limit < 512));
  CHECK(f.memory->Admits(Tier::kBatch));
  f.SetUpstreamsReading(true);
  CheckSmallIsServed(&f);
  f.ServeUntil([&] { return CountServed(callers) == callers.size(); });
  CHECK(f.memory->peak() <= f.memory->capacity());
}

// A store that sends without end must not use up the budget.
TEST_CASE("Store client: cuts a response that memory has no room for",
          "[memory]") {
  boost::asio::io_context context(1);
  RawUpstream server(context);
  const auto memory =
      std::make_shared<MemoryBudget>(Bytes(int64_t{88} * 1024 * 1024));
  const std::unique_ptr<PlatformStore> store =
      platform::OpenStore(context, server.address(), memory);
  absl::StatusCode code = absl::StatusCode::kOk;
  store->List("kind", "", [&](const absl::StatusOr<ObjectBatch>& batch) {
    code = batch.status().code();
  });
  const TimePoint end = SteadyNow() + kTestTimeout;
  bool has_head = false;
  while (code == absl::StatusCode::kOk) {
    REQUIRE(SteadyNow() < end);
    context.restart();
    context.run_for(milliseconds(2));
    if (!server.peers.empty() && !server.peers[0]->received.empty() &&
        server.peers[0]->pending_bytes() == 0) {
      if (!std::exchange(has_head, true)) {
        server.peers[0]->Send(
            "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
      }
      server.peers[0]->Send(std::string(400'000, ' '));
    }
  }
  CHECK(code == absl::StatusCode::kResourceExhausted);
  CHECK(memory->peak() > Bytes(1'000'000));
  CHECK(memory->peak() < memory->capacity());
  CHECK(memory->used() == Bytes(0));
}

// A connection whose reading was paused by the bytes that also ended its
// response went back to the pool paused. The next request on it got no
// response.
TEST_CASE("UpstreamConnection: reads after a response that paused it",
          "[gateway]") {
  boost::asio::io_context context(1);
  RawUpstream upstream(context);
  const HeaderCodec codec = platform::MakeHeaderCodec();
  const auto connection = std::make_shared<UpstreamConnection>(context, &codec);
  int ended = 0;
  const auto send = [&](const std::function<void()>& on_body) {
    UpstreamConnection::Call call;
    call.make_bytes = [] {
      return UpstreamConnection::RequestBytes{
          .head = "POST /p/ HTTP/1.1\r\nHost: h\r\n\r\n", .body = nullptr};
    };
    call.attempt_id = "a1";
    call.observed = [](const ResponseMetadata&) {};
    call.head = [](const ResponseReader&, const ResponseMetadata&) {};
    call.body = [on_body](const std::string&) { on_body(); };
    call.ended = [&] { ++ended; };
    call.failed = [](CallFailure, const std::string& error) { FAIL(error); };
    connection->Send(upstream.address(), std::move(call));
  };
  const auto run_until = [&](const std::function<bool()>& done) {
    const TimePoint end = SteadyNow() + kTestTimeout;
    while (!done()) {
      REQUIRE(SteadyNow() < end);
      context.restart();
      context.run_for(milliseconds(2));
    }
  };
  const auto answer = [&](int number) {
    run_until([&] {
      return !upstream.peers.empty() && !upstream.peers[0]->received.empty();
    });
    upstream.peers[0]->received.clear();
    upstream.peers[0]->Send(kOkResponse);
    run_until([&] { return ended == number; });
  };
  send([&] { connection->SetReading(false); });
  answer(1);
  REQUIRE(connection->IsReusable(SteadyNow()));
  send([] {});
  answer(2);
}

// 4 MB wait for each router that takes nothing, which is 1.2 GB in a fleet of
// 300.
TEST_CASE("PeerNetwork: peers that read nothing use a part of the budget",
          "[memory]") {
  boost::asio::io_context context(1);
  const auto memory =
      std::make_shared<MemoryBudget>(Bytes(int64_t{88} * 1024 * 1024));
  PeerNetwork network(context,
                      {.fleet = FleetId("f"),
                       .self = RouterId("self"),
                       .fleet_secret = "secret",
                       .listen_address = "127.0.0.1:0",
                       .memory = memory},
                      {.receive = [](const RouterId&, const PeerMessage&) {},
                       .event = [](const Event&) {}});
  // Connections are accepted by the system, and never served.
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> peers;
  for (int i = 0; i < 30; ++i) {
    peers.push_back(std::make_unique<boost::asio::ip::tcp::acceptor>(
        context, boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::address_v4::loopback(), 0)));
    const std::string address =
        absl::StrCat("127.0.0.1:", peers.back()->local_endpoint().port());
    FeedUpdate update;
    update.kinds.resize(1);
    update.kinds[0].kind = std::string(500'000, 'k');
    for (int message = 0; message < 4; ++message) {
      network.Send({.router = RouterId("r"), .address = address}, update);
    }
  }
  CHECK(memory->used(MemoryKind::kPeers) > Bytes(1'000'000));
  CHECK(memory->used(MemoryKind::kPeers) <
        Bytes(memory->capacity().value() / 8));
  CHECK(network.counts().dropped_messages > 0);
  network.Stop();
}

}  // namespace
}  // namespace papaya
