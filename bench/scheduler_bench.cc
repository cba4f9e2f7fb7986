#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "include/admission/scheduler.h"

namespace papaya::bench {
namespace {

constexpr int kZones = 12;
constexpr int kPools = 8;
constexpr int kLargeFleetRouters = 390;
constexpr int kLargeFleetUpstreams = 3600;
constexpr int kLargeFleetAccounts = 3500;

// A single Scheduler in a fleet of configurable size, with hooks that do
// nothing.
class SchedulerFixture {
 public:
  SchedulerFixture(int routers, int upstreams, int accounts, int slots)
      : accounts_(accounts), pools_(upstreams >= 80 ? kPools : 1) {
    SchedulerHooks hooks;
    hooks.dispatch = [](RequestId, const UpstreamId&) {};
    hooks.reject = [](RequestId, const Rejection&) {};
    hooks.preempt = [](RequestId) {};
    hooks.send_demand = [](const DemandReport&, const DemandParts&) {};
    hooks.event = [](const Event&) {};
    SchedulerOptions options;
    options.router = RouterId("r0");
    options.max_queued = 100000;
    scheduler_ = std::make_unique<Scheduler>(options, hooks);
    auto config = std::make_shared<FleetConfig>();
    for (int i = 0; i < upstreams; ++i) {
      config->upstreams.push_back(MakeUpstream(i, slots));
    }
    RoutingInput input;
    input.config = config;
    for (int i = 0; i < routers; ++i) {
      input.routers.push_back({RouterId(absl::StrCat("r", i)), ZoneOf(i)});
    }
    input.self = input.routers[0];
    scheduler_->OnSnapshot(RoutingSnapshot::Build(input), now_);
    while (static_cast<int>(prepared_requests_.size()) < accounts_) {
      prepared_requests_.push_back(MakeRequest());
    }
  }

  // Runs one of the prepared requests from its arrival to its end.
  void RunRequest() {
    RequestSpec& spec =
        prepared_requests_[last_id_ % prepared_requests_.size()];
    spec.id = RequestId(++last_id_);
    scheduler_->OnRequest(spec, now_);
    scheduler_->OnFirstToken(spec.id, now_);
    scheduler_->OnFinished(spec.id, {AttemptEnd::kOk, Tokens(100)}, now_);
  }
  void AddOpenRequest() { scheduler_->OnRequest(MakeRequest(), now_); }
  void Tick() {
    now_ += std::chrono::milliseconds(50);
    scheduler_->OnTick(now_);
  }

 private:
  static AvailabilityZoneId ZoneOf(int number) {
    return AvailabilityZoneId(absl::StrCat("z", number % kZones));
  }

  UpstreamSpec MakeUpstream(int number, int slots) const {
    UpstreamSpec spec;
    spec.id = UpstreamId(absl::StrCat("upstream-", number));
    spec.zone = ZoneOf(number);
    spec.pool = PoolId(absl::StrCat("model-", number / kZones % pools_));
    spec.version = VersionId("v1");
    spec.generation = GenerationId(absl::StrCat("g", number % 4));
    spec.slots = slots;
    return spec;
  }

  RequestSpec MakeRequest() {
    const uint64_t number = ++last_id_;
    RequestSpec spec;
    spec.id = RequestId(number);
    spec.account = AccountId(
        absl::StrCat("account-", number % static_cast<uint64_t>(accounts_)));
    spec.route = RouteId("chat");
    spec.pool =
        PoolId(absl::StrCat("model-", number % static_cast<uint64_t>(pools_)));
    spec.tier = Tier::kInteractive;
    spec.prompt_tokens = Tokens(1024);
    for (uint64_t i = 0; i < 8; ++i) {
      spec.prefix_hashes.push_back((number % 500) * 1000 + i);
    }
    spec.share_hash = number * 0x9e3779b97f4a7c15;
    spec.arrival = now_;
    spec.deadline = now_ + std::chrono::hours(1);
    return spec;
  }

  int accounts_;
  int pools_;
  // One request per account.
  std::vector<RequestSpec> prepared_requests_;
  uint64_t last_id_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Scheduler> scheduler_;
};

void WarmUp(SchedulerFixture* fixture, int count) {
  for (int i = 0; i < count; ++i) {
    fixture->RunRequest();
  }
}

Measurement DecisionFigure(int routers, int upstreams, double target_ns) {
  SchedulerFixture fixture(routers, upstreams, kLargeFleetAccounts, 8);
  WarmUp(&fixture, 2 * kLargeFleetAccounts);
  return {.name = absl::StrCat("routing.decision[", upstreams, "]"),
          .value = TimePerCallNs([&fixture] { fixture.RunRequest(); }),
          .unit = "ns",
          .target = target_ns,
          .better = Better::kLower};
}

std::vector<Measurement> RunDecision() {
  return {DecisionFigure(7, 9, 2000.0),
          DecisionFigure(kLargeFleetRouters, kLargeFleetUpstreams, 10000.0)};
}

// Returns the live heap bytes of a SchedulerFixture of this size that has run
// one request per account and then received `open` + `waiting` requests that
// stay open.
double BytesOf(int upstreams, int accounts, int open, int waiting) {
  const int64_t before = LiveHeapBytes();
  SchedulerFixture fixture(1, upstreams, accounts, open > 0 ? open : 1);
  WarmUp(&fixture, accounts);
  for (int i = 0; i < open + waiting; ++i) {
    fixture.AddOpenRequest();
  }
  return static_cast<double>(LiveHeapBytes() - before);
}

struct CapacitySeries {
  const char* item;
  std::vector<int> counts;
  double (*bytes)(int count);
  double (*ns)(int count);
};

double RunRequestNs(int upstreams, int accounts, int waiting) {
  SchedulerFixture fixture(1, upstreams, accounts, 8);
  WarmUp(&fixture, accounts);
  for (int i = 0; i < waiting; ++i) {
    fixture.AddOpenRequest();
  }
  return TimePerCallNs([&fixture] { fixture.RunRequest(); });
}

double TickNs(int open) {
  SchedulerFixture fixture(1, 9, 100, open);
  for (int i = 0; i < open; ++i) {
    fixture.AddOpenRequest();
  }
  return TimePerCallNs([&fixture] { fixture.Tick(); });
}

const std::vector<CapacitySeries>& AllCapacitySeries() {
  static const std::vector<CapacitySeries> series = {
      {"upstream",
       {100, 400, 1200, kLargeFleetUpstreams},
       [](int count) { return BytesOf(count, 10, 0, 0); },
       [](int count) { return RunRequestNs(count, 10, 0); }},
      {"account",
       {100, 500, 1500, kLargeFleetAccounts},
       [](int count) { return BytesOf(9, count, 0, 0); },
       [](int count) { return RunRequestNs(9, count, 0); }},
      {"waiting_request",
       {500, 2000, 5000, 10000},
       [](int count) { return BytesOf(1, 100, 1, count); },
       [](int count) { return RunRequestNs(1, 100, count); }},
      {"open_stream",
       {100, 400, 1000, 2000},
       [](int count) { return BytesOf(1, 100, count, 0); },
       [](int count) { return TickNs(count); }},
  };
  return series;
}

// A least-squares line. `residual` is the largest distance of a point from the
// line, as a fraction of the largest absolute value.
struct Line {
  double slope = 0.0;
  double residual = 0.0;
};

Line FitLine(const std::vector<int>& x, const std::vector<double>& y) {
  const double n = static_cast<double>(x.size());
  double sum_x = 0.0;
  double sum_y = 0.0;
  double sum_xx = 0.0;
  double sum_xy = 0.0;
  for (size_t i = 0; i < x.size(); ++i) {
    sum_x += x[i];
    sum_y += y[i];
    sum_xx += static_cast<double>(x[i]) * x[i];
    sum_xy += x[i] * y[i];
  }
  Line line;
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  const double intercept = (sum_y - line.slope * sum_x) / n;
  double largest = 0.0;
  for (size_t i = 0; i < x.size(); ++i) {
    const double distance = std::fabs(y[i] - intercept - line.slope * x[i]);
    line.residual = std::max(line.residual, distance);
    largest = std::max(largest, std::fabs(y[i]));
  }
  line.residual /= largest;
  return line;
}

std::vector<Measurement> RunSlopes(bool is_bytes) {
  std::vector<Measurement> figures;
  const std::string unit = is_bytes ? "bytes" : "ns";
  for (const CapacitySeries& series : AllCapacitySeries()) {
    const std::string name =
        absl::StrCat("capacity.scheduler_", unit, "[", series.item);
    std::vector<double> values;
    for (int count : series.counts) {
      values.push_back(is_bytes ? series.bytes(count) : series.ns(count));
      figures.push_back({.name = absl::StrCat(name, ",", count, "]"),
                         .value = values.back(),
                         .unit = unit});
    }
    const Line line = FitLine(series.counts, values);
    figures.push_back({.name = absl::StrCat(name, ",slope]"),
                       .value = line.slope,
                       .unit = absl::StrCat(unit, "_each")});
    figures.push_back({.name = absl::StrCat(name, ",residual]"),
                       .value = 100.0 * line.residual,
                       .unit = "percent"});
  }
  return figures;
}

const bool kDecision = RegisterMeasure({"routing.decision", &RunDecision});
const bool kBytes = RegisterMeasure(
    {"capacity.scheduler_bytes", [] { return RunSlopes(true); }});
const bool kNs =
    RegisterMeasure({"capacity.scheduler_ns", [] { return RunSlopes(false); }});

}  // namespace
}  // namespace papaya::bench
