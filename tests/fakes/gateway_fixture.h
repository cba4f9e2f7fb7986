#ifndef TESTS_FAKES_GATEWAY_FIXTURE_H_
#define TESTS_FAKES_GATEWAY_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/gateway/gateway_settings.h"
#include "include/rollout/version_stats.h"
#include "include/wire/steady_time.h"
#include "platform/header_codec.h"
#include "src/gateway/caller_listener.h"
#include "src/gateway/request_dispatcher.h"
#include "src/gateway/tcp_channel.h"

namespace papaya {

// Long enough for a busy machine. A test that waits this long fails.
inline constexpr std::chrono::seconds kTestTimeout{20};

// One side of a connection whose bytes the test sends and reads itself.
class RawPeer {
 public:
  explicit RawPeer(boost::asio::ip::tcp::socket socket)
      : channel_(std::make_shared<TcpChannel>(std::move(socket))) {}
  // The event loop may hold the channel, whose hooks refer to this object.
  ~RawPeer() { channel_->Close(); }

  void Start() {
    TcpChannel::Hooks hooks;
    hooks.data = [this](std::string_view bytes) { received.append(bytes); };
    hooks.ended = [this](bool is_orderly, const std::string&) {
      has_ended = true;
      ended_orderly = is_orderly;
    };
    channel_->Start(std::move(hooks));
  }

  void Send(const std::string& bytes) { channel_->Write(bytes); }
  size_t pending_bytes() const { return channel_->pending_bytes(); }
  void SetReading(bool is_reading) { channel_->SetReading(is_reading); }
  void Close() { channel_->Close(); }
  void Reset() { channel_->Reset(); }

  std::string received;
  bool has_ended = false;
  bool ended_orderly = false;

 private:
  std::shared_ptr<TcpChannel> channel_;
};

// An upstream whose connections the test serves itself.
class RawUpstream {
 public:
  explicit RawUpstream(boost::asio::io_context& context)
      : acceptor_(context,
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(),
                      0)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Makes the windows of the connections accepted from now on small.
  void LimitWindows() {
    constexpr int kWindowBytes = 8192;
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kWindowBytes));
  }

  std::vector<std::unique_ptr<RawPeer>> peers;
  // Whether connections are read as soon as they are accepted.
  bool is_reading = true;

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      peers.push_back(std::make_unique<RawPeer>(std::move(socket)));
      peers.back()->SetReading(is_reading);
      peers.back()->Start();
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
};

// A RequestDispatcher between callers and two upstreams.
class GatewayFixture {
 public:
  // Without `memory_mb`, the memory budget is off.
  explicit GatewayFixture(RequestKind kind,
                          bool is_resumable = false,
                          int64_t memory_mb = 0)
      : memory(std::make_shared<MemoryBudget>(Bytes(memory_mb * 1024 * 1024))),
        header_codec_(platform::MakeHeaderCodec()),
        dispatcher(context,
                   Settings(),
                   Incarnation(1),
                   &header_codec_,
                   MakeHooks()),
        listener(context,
                 100,
                 [this](const std::shared_ptr<CallerConnection>& caller,
                        HttpRequest request) {
                   dispatcher.OnRequest(caller, std::move(request));
                 }) {
    memory->SetHooks(
        {.room_freed =
             [this] {
               boost::asio::post(context, [this] { memory->GrantWaiting(); });
             },
         .changed = [this](MemoryBudget::Change change,
                           Tier) { memory_changes.push_back(change); }});
    listener.SetMemory(dispatcher.MakeCallerMemory());
    for (int i = 0; i < 2; ++i) {
      upstreams.push_back(std::make_unique<RawUpstream>(context));
    }
    REQUIRE(listener.Start("127.0.0.1:0").ok());
    route.id = RouteId("r");
    route.host = "h";
    route.path_prefix = "/p/";
    route.kind = kind;
    route.is_resumable = is_resumable;
    route.services = {{.service = PoolId("s")}};
    route.max_attempts = 2;
    route.latency_objective = std::chrono::seconds(30);
    PublishRoute();
    for (size_t i = 0; i < upstreams.size(); ++i) {
      UpstreamRecord record;
      record.instance = "i" + std::to_string(i);
      record.id = UpstreamId(record.instance + "#1");
      record.service = PoolId("s");
      record.address = upstreams[i]->address();
      record.slots = 4;
      records.push_back(record);
    }
    PublishUpstreams();
  }

  // Puts a manifest with `route` in force.
  void PublishRoute() {
    auto config = std::make_shared<GatewayConfig>();
    config->routes = more_routes;
    config->routes.push_back(route);
    if (has_account) {
      config->accounts = {{.id = AccountId("school"), .api_keys = {"secret"}}};
    }
    config->needs_keys = needs_keys;
    dispatcher.SetTable(std::make_shared<const RouteTable>(config));
  }

  void SetUpstreams() {
    dispatcher.SetUpstreams(records, {{.id = RouterId("self")}});
  }

  // Sets `records` as the upstreams and waits until they are in force.
  void PublishUpstreams() {
    const int before = snapshots;
    SetUpstreams();
    RunUntil([this, before] { return snapshots > before; });
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.router = RouterId("self");
    return settings;
  }

  RequestDispatcher::Hooks MakeHooks() {
    RequestDispatcher::Hooks hooks;
    hooks.send_demand = [](const DemandParts&) {};
    hooks.send_usage = [](const RouterId&, const UsageReport&) {};
    hooks.send_totals = [](const RouterId&, const UsageTotals&) {};
    hooks.send_crashes = [](const RouterId&, const CrashNews&) {};
    hooks.quarantine_begun = [](PromptPartId) {};
    hooks.report = [this](const RelayReport& report) {
      reports.push_back(report);
    };
    hooks.apply_moves = [this](FleetConfig config) {
      ++snapshots;
      return config;
    };
    hooks.sent = [](const UpstreamRecord&) {};
    hooks.measured = [this](const UpstreamRecord&, const RouteId&, bool failed,
                            Duration) { measured.push_back(failed); };
    hooks.upstream_leaving = [this](const UpstreamRecord& upstream) {
      leaving.push_back(upstream.id);
    };
    hooks.rejected = [](const std::string&) {};
    hooks.read_delay = [this] { return read_delay; };
    hooks.event = [this](const Event& event) { events.push_back(event.id); };
    hooks.memory = memory;
    return hooks;
  }

  std::unique_ptr<RawPeer> Call(const std::string& request) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::address_v4::loopback(), listener.port()));
    auto peer = std::make_unique<RawPeer>(std::move(socket));
    peer->Start();
    peer->Send(request);
    return peer;
  }

  // Runs the event loop and the dispatcher until `done` returns true. Fails
  // after kTestTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = SteadyNow() + kTestTimeout;
    while (!done()) {
      REQUIRE(SteadyNow() < end);
      dispatcher.OnTick(SteadyNow());
      if (memory->is_limited()) {
        listener.OnTick(SteadyNow());
        memory->OnTick(SteadyNow());
      }
      context.restart();
      context.run_for(std::chrono::milliseconds(2));
    }
  }

  // Returns the number of requests that upstream `index` has received.
  size_t RequestsAt(size_t index) const {
    constexpr std::string_view kRequestLine = "POST /p/";
    size_t count = 0;
    for (const std::unique_ptr<RawPeer>& peer : upstreams[index]->peers) {
      for (size_t at = peer->received.find(kRequestLine);
           at != std::string::npos;
           at = peer->received.find(kRequestLine, at + 1)) {
        ++count;
      }
    }
    return count;
  }

  // Returns the index of the upstream that has the connection.
  size_t IndexOf(const RawPeer* wanted) const {
    size_t index = 0;
    for (; index < upstreams.size(); ++index) {
      for (const std::unique_ptr<RawPeer>& peer : upstreams[index]->peers) {
        if (peer.get() == wanted) {
          return index;
        }
      }
    }
    return index;
  }

  // Waits for the next request on one of at least `connections` upstream
  // connections with data, and returns its connection.
  RawPeer* AwaitRequest(size_t connections = 1) {
    RawPeer* found = nullptr;
    RunUntil([&] {
      size_t count = 0;
      for (const std::unique_ptr<RawUpstream>& upstream : upstreams) {
        for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
          count += peer->received.empty() ? 0 : 1;
          if (peer->received.find("\r\n\r\n") != std::string::npos &&
              !peer->has_ended) {
            found = peer.get();
          }
        }
      }
      return found != nullptr && count >= connections;
    });
    return found;
  }

  ~GatewayFixture() { memory->SetHooks({}); }

  boost::asio::io_context context{1};
  const std::shared_ptr<MemoryBudget> memory;
  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::vector<RelayReport> reports;
  // For each reported attempt, whether it failed.
  std::vector<bool> measured;
  // Upstreams that were reported as leaving.
  std::vector<UpstreamId> leaving;
  std::vector<EventId> events;
  // Number of routing snapshots that the dispatcher has built.
  int snapshots = 0;
  // How long bytes are said to have waited to be read.
  Duration read_delay{};
  ServiceRoute route;
  // Whether the manifest has an account, and asks for keys all the same.
  bool has_account = true;
  bool needs_keys = false;
  // Other routes of the manifest; put in force by PublishRoute.
  std::vector<ServiceRoute> more_routes;
  std::vector<MemoryBudget::Change> memory_changes;
  std::vector<UpstreamRecord> records;

 private:
  HeaderCodec header_codec_;

 public:
  RequestDispatcher dispatcher;
  CallerListener listener;
};

inline constexpr char kPostRequest[] =
    "POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Papayaarch-Deadline-Ms: 60000\r\nAuthorization: Token secret\r\n"
    "Papayaarch-Tenant: forged\r\nPapayaarch-Hold: forged\r\n"
    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
    "Content-Length: 5\r\n\r\nhello";
inline constexpr char kOkResponse[] =
    "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nSeal: s\r\n"
    "Content-Length: 2\r\n\r\nok";

inline bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

inline constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace papaya

#endif  // TESTS_FAKES_GATEWAY_FIXTURE_H_
