// Which upstream a Scheduler chooses, by what it sees and what others tell it.

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

// One Scheduler of several that share upstreams; each request is of a prompt
// that is kPrompt unless said otherwise.
class Router {
 public:
  explicit Router(int upstreams) {
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId, const UpstreamId& upstream) {
      dispatched.push_back(upstream);
    };
    hooks.refuse = [](RequestId, const Refusal&) {};
    hooks.preempt = [this](RequestId id) { preempted.push_back(id); };
    hooks.send_demand = [this](const DemandReport& report) {
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
    Tell({});
  }

  // Takes in a request, and gives the upstream that it went to.
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

  // The other router has that under way.
  void Tell(const std::vector<UpstreamUse>& uses) {
    DemandReport report;
    report.router = RouterId("r1");
    report.incarnation = Incarnation(1);
    report.sequence = ++sequence;
    report.upstreams = uses;
    scheduler->OnDemandReport(report, now);
    now += std::chrono::milliseconds(50);
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

}  // namespace

TEST_CASE("a prompt goes where its prefix is", "[admission]") {
  Router router(3);
  const UpstreamId holder = router.Request();
  router.Finish();
  for (int i = 0; i < 10; ++i) {
    CHECK(router.Request() == holder);
    router.Finish();
  }
}

TEST_CASE("the last free slot is left for a prompt that gains little by it",
          "[admission]") {
  Router router(2);
  const UpstreamId holder = router.Request();
  router.Finish();
  router.Tell({Running(holder, kSlots - 1)});
  CHECK(router.Request() != holder);
}

}  // namespace papaya
