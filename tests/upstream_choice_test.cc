// Tests which upstream a Scheduler chooses, based on its own observations and
// on the reports of other routers.

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "include/admission/scheduler.h"

namespace papaya {
namespace {

const PoolId kPool("assistant");
constexpr int kSlots = 4;
constexpr int64_t kBlockTokens = 128;
const std::vector<uint64_t> kPrompt = {11, 12, 13, 14, 15, 16, 17, 18};

// A Scheduler of one router that shares upstreams with others. Requests have
// the prompt kPrompt unless another one is given.
class Router {
 public:
  explicit Router(int upstreams) {
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId, const UpstreamId& upstream) {
      dispatched.push_back(upstream);
    };
    hooks.reject = [](RequestId, const Rejection&) {};
    hooks.preempt = [this](RequestId id) { preempted.push_back(id); };
    hooks.send_demand = [this](const DemandReport& report, const DemandParts&) {
      reports.push_back(report);
    };
    hooks.event = [](const Event&) {};
    SchedulerOptions options;
    options.router = RouterId("r0");
    scheduler = std::make_unique<Scheduler>(options, hooks);
    std::shared_ptr<FleetConfig> config = std::make_shared<FleetConfig>();
    for (int i = 0; i < upstreams; ++i) {
      UpstreamSpec spec;
      spec.id = UpstreamId("u" + std::to_string(i));
      spec.pool = kPool;
      spec.version = VersionId("v1");
      spec.slots = kSlots;
      config->upstreams.push_back(spec);
    }
    RoutingInput input;
    input.config = config;
    input.self = {RouterId("r0"), AvailabilityZoneId("z0")};
    input.routers = {input.self, {RouterId("r1"), AvailabilityZoneId("z0")}};
    scheduler->OnSnapshot(RoutingSnapshot::Build(input), now);
    ReceiveReport({});
  }

  // Sends a request and returns the upstream that it was dispatched to.
  UpstreamId Request(const std::vector<uint64_t>& prompt = kPrompt) {
    RequestSpec spec;
    spec.id = RequestId(++last);
    spec.account = AccountId("a");
    spec.route = RouteId("chat");
    spec.pool = kPool;
    spec.prefix_hashes = prompt;
    spec.prompt_tokens =
        Tokens(static_cast<int64_t>(prompt.size()) * kBlockTokens);
    spec.share_hash = last;
    spec.arrival = now;
    spec.deadline = now + std::chrono::seconds(10);
    const size_t before = dispatched.size();
    scheduler->OnRequest(spec, now);
    return dispatched.size() > before ? dispatched.back() : UpstreamId();
  }
  void Finish() {
    scheduler->OnFirstToken(RequestId(last), now);
    scheduler->OnFinished(RequestId(last), {AttemptEnd::kOk, Tokens(10)}, now);
  }

  // Delivers a report of another router with this use of upstreams.
  void ReceiveReport(const std::vector<UpstreamUse>& uses,
                     const char* router = "r1") {
    DemandReport report;
    report.router = RouterId(router);
    report.incarnation = Incarnation(1);
    report.sequence = ++sequence;
    report.upstreams = uses;
    scheduler->OnDemandReport(report, now);
    Advance(std::chrono::milliseconds(50));
  }

  void Advance(Duration time) {
    now += time;
    scheduler->OnTick(now);
  }

  TimePoint now = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Scheduler> scheduler;
  std::vector<UpstreamId> dispatched;
  std::vector<RequestId> preempted;
  std::vector<DemandReport> reports;
  uint64_t last = 0;
  uint64_t sequence = 0;
};

UpstreamUse Running(const UpstreamId& upstream, int32_t running) {
  UpstreamUse use;
  use.upstream = upstream;
  use.running = running;
  return use;
}

UpstreamUse Ejected(const UpstreamId& upstream) {
  UpstreamUse use;
  use.upstream = upstream;
  use.ejected = true;
  return use;
}

// Sends one request a second for `time` and returns how many of them went to
// `upstream`.
int CountSentTo(const UpstreamId& upstream,
                Duration time,
                const std::vector<UpstreamUse>& r1,
                const std::vector<UpstreamUse>& r2,
                Router* router) {
  int count = 0;
  const TimePoint end = router->now + time;
  while (router->now < end) {
    router->ReceiveReport(r1, "r1");
    router->ReceiveReport(r2, "r2");
    count += router->Request() == upstream ? 1 : 0;
    router->Finish();
    router->Advance(std::chrono::milliseconds(900));
  }
  return count;
}

}  // namespace

TEST_CASE("a prompt goes to the upstream that holds its prefix",
          "[admission]") {
  Router router(3);
  const UpstreamId holder = router.Request();
  router.Finish();
  for (int i = 0; i < 10; ++i) {
    CHECK(router.Request() == holder);
    router.Finish();
  }
}

TEST_CASE("a prompt that gains little does not take the last free slot",
          "[admission]") {
  Router router(2);
  const std::vector<uint64_t> prompt = {21, 22};
  const UpstreamId holder = router.Request(prompt);
  router.Finish();
  router.ReceiveReport({Running(holder, kSlots - 1)});
  CHECK(router.Request(prompt) != holder);
}

TEST_CASE("an upstream ejected by another router gets only rare probes",
          "[admission]") {
  Router router(3);
  const UpstreamId slow = router.Request();
  router.Finish();
  router.Advance(std::chrono::seconds(3));
  const std::vector<UpstreamUse> r1 = {Ejected(slow)};
  SECTION("although a third router still has work there") {
    CHECK(CountSentTo(slow, std::chrono::seconds(55), r1, {Running(slow, 3)},
                      &router) == 0);
  }
  SECTION("until that router finds it recovered") {
    CHECK(CountSentTo(slow, std::chrono::seconds(55), r1, {}, &router) == 0);
    std::vector<UpstreamUse> full;
    for (const char* id : {"u0", "u1", "u2"}) {
      full.push_back(
          Running(UpstreamId(id), UpstreamId(id) == slow ? 0 : kSlots));
    }
    CHECK(CountSentTo(slow, std::chrono::seconds(20), {Running(slow, 1)}, full,
                      &router) == 20);
  }
  SECTION("so that a recovery is noticed") {
    const int probes =
        CountSentTo(slow, std::chrono::minutes(4), r1, {}, &router);
    CHECK(probes >= 1);
    CHECK(probes <= 2);
  }
}

}  // namespace papaya
