// Connections to the store that go silent for good while new ones work.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "include/gateway/object_watcher.h"
#include "include/wire/http_client.h"
#include "tests/fakes/canned_server.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/fake_platform.h"
#include "tests/fakes/holding_proxy.h"
#include "tests/fakes/store_fleet.h"
#include "tests/loopback.h"

namespace papaya {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Changes that are made while connections are silent must be in force once the
// routers count as undisturbed again.
constexpr Duration kCalmAfter = seconds(3);
constexpr Duration kCalmAfterInLargeFleet = seconds(4);

// What a router takes to put a change into force once it knows it.
constexpr Duration kMargin = milliseconds(200);

// Guards against a wait and a limit of the response that add up to more than
// the time after which changes must be in force (review/3).
TEST_CASE("ObjectWatcher: a change waited for a watch that had gone silent",
          "[gateway]") {
  // Late responses lengthen the time after which a watch is given up.
  const milliseconds lateness = GENERATE(milliseconds(4), milliseconds(100),
                                         milliseconds(200), milliseconds(350));
  CAPTURE(lateness.count());
  for (milliseconds phase(0); phase < seconds(4); phase += milliseconds(100)) {
    CAPTURE(phase.count());
    EventQueue queue;
    FakePlatform platform(&queue);
    platform.call_time = lateness;
    platform.Put("first");
    const std::unique_ptr<FakePlatform::Client> client = platform.MakeClient();
    std::set<std::string> known;
    ObjectWatcher::Hooks hooks;
    hooks.replaced = [&known](const std::vector<PlatformObject>& objects) {
      for (const PlatformObject& object : objects) {
        known.insert(object.name);
      }
    };
    hooks.changed = [&known](const PlatformObject& object) {
      known.insert(object.name);
    };
    hooks.store_recovered = [] {};
    hooks.read = [](const KindFeed&) {};
    hooks.now = [&queue] { return queue.now(); };
    hooks.event = [](const Event&) {};
    ObjectWatcher watcher(client.get(), {.kind = "kind"}, hooks);
    const auto run = [&](Duration time) {
      for (const TimePoint end = queue.now() + time; queue.now() < end;) {
        watcher.OnTick(queue.now());
        queue.RunFor(milliseconds(50));
      }
    };
    run(seconds(5) + phase);
    // The response to the watch under way is lost, whatever it would be.
    int left = 1;
    platform.loses_response = [&left] { return left-- > 0; };
    const TimePoint silent_since = queue.now();
    run(milliseconds(300));
    platform.Put("second");
    run(kCalmAfter - kMargin - (queue.now() - silent_since));
    CHECK(known.contains("second"));
  }
}

// Guards against calls that fail one after the other, each on another idle
// connection that went silent at the same time (review/3).
TEST_CASE("HttpClientPool: keeps no idle connection after a time-out",
          "[gateway]") {
  asio::io_context context;
  CannedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  HoldingProxy proxy(context, server.endpoint());
  HttpClientPool pool(4);
  int done = 0;
  for (int i = 0; i < 3; ++i) {
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          const absl::StatusOr<HttpResponse> response = co_await FetchHttp(
              &pool, proxy.address(), HttpRequest(), TestDeadline());
          CHECK(response.ok());
          ++done;
        },
        asio::detached);
  }
  while (done < 3) {
    context.run_one();
  }
  REQUIRE(proxy.accepted() == 3);
  proxy.SilenceAll();
  RunOn(context, [&]() -> asio::awaitable<void> {
    absl::StatusOr<HttpResponse> response = co_await FetchHttp(
        &pool, proxy.address(), HttpRequest(), SteadyNow() + milliseconds(200));
    CHECK(absl::IsDeadlineExceeded(response.status()));
    response = co_await FetchHttp(&pool, proxy.address(), HttpRequest(),
                                  SteadyNow() + seconds(5));
    CHECK(response.ok());
  });
  pool.Shutdown();
}

TEST_CASE("StoreFaults: a change waited for the silent watches of both readers",
          "[store_calls]") {
  constexpr int kRouters = 60;
  for (milliseconds phase(0); phase < seconds(4); phase += milliseconds(500)) {
    CAPTURE(phase.count());
    StoreFleet fleet(kRouters, 4);
    for (const std::unique_ptr<FakePlatform>& platform : fleet.platforms) {
      platform->Put("first");
    }
    fleet.Run(seconds(5));
    fleet.StartAll();
    fleet.Run(seconds(10) + phase);
    FakePlatform& platform = *fleet.platforms[StoreFleet::kUpstreams];
    int left = StoreFeed::kReaders;
    platform.loses_response = [&left] { return left-- > 0; };
    const TimePoint silent_since = fleet.queue.now();
    fleet.Run(milliseconds(300));
    platform.Put("second");
    fleet.Run(kCalmAfterInLargeFleet - kMargin -
              (fleet.queue.now() - silent_since));
    CHECK(fleet.CountCurrent() == kRouters);
  }
}

}  // namespace
}  // namespace papaya
