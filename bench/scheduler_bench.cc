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
constexpr int kPlanRouters = 390;
constexpr int kPlanUpstreams = 3600;
constexpr int kPlanAccounts = 3500;

// One Scheduler alone, in a fleet of any size; hooks do nothing.
class Bed {
 public:
  Bed(int routers, int upstreams, int accounts, int slots)
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
    while (static_cast<int>(prepared_.size()) < accounts_) {
      prepared_.push_back(MakeRequest());
    }
  }

  // Takes in a request made before, and ends it again.
  void Decide() {
    RequestSpec& spec = prepared_[last_ % prepared_.size()];
    spec.id = RequestId(++last_);
    scheduler_->OnRequest(spec, now_);
    scheduler_->OnFirstToken(spec.id, now_);
    scheduler_->OnFinished(spec.id, {AttemptEnd::kOk, Tokens(100)}, now_);
  }
  void Open() { scheduler_->OnRequest(MakeRequest(), now_); }
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
    const uint64_t number = ++last_;
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
  // One of each account.
  std::vector<RequestSpec> prepared_;
  uint64_t last_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Scheduler> scheduler_;
};

void WarmUp(Bed* bed, int count) {
  for (int i = 0; i < count; ++i) {
    bed->Decide();
  }
}

Figure DecisionFigure(int routers, int upstreams, double target_ns) {
  Bed bed(routers, upstreams, kPlanAccounts, 8);
  WarmUp(&bed, 2 * kPlanAccounts);
  return {.name = absl::StrCat("routing.decision[", upstreams, "]"),
          .value = TimePerCallNs([&bed] { bed.Decide(); }),
          .unit = "ns",
          .target = target_ns,
          .better = Better::kLower};
}

std::vector<Figure> RunDecision() {
  return {DecisionFigure(7, 9, 2000.0),
          DecisionFigure(kPlanRouters, kPlanUpstreams, 10000.0)};
}

// Live bytes that a Bed of this size takes after `prepare`.
double BytesOf(int upstreams, int accounts, int open, int waiting) {
  const int64_t before = LiveHeapBytes();
  Bed bed(1, upstreams, accounts, open > 0 ? open : 1);
  WarmUp(&bed, accounts);
  for (int i = 0; i < open + waiting; ++i) {
    bed.Open();
  }
  return static_cast<double>(LiveHeapBytes() - before);
}

struct Sizes {
  const char* what;
  std::vector<int> counts;
  double (*bytes)(int count);
  double (*ns)(int count);
};

double DecideNs(int upstreams, int accounts, int waiting) {
  Bed bed(1, upstreams, accounts, 8);
  WarmUp(&bed, accounts);
  for (int i = 0; i < waiting; ++i) {
    bed.Open();
  }
  return TimePerCallNs([&bed] { bed.Decide(); });
}

double TickNs(int open) {
  Bed bed(1, 9, 100, open);
  for (int i = 0; i < open; ++i) {
    bed.Open();
  }
  return TimePerCallNs([&bed] { bed.Tick(); });
}

const std::vector<Sizes>& AllSizes() {
  static const std::vector<Sizes> sizes = {
      {"upstream",
       {100, 400, 1200, kPlanUpstreams},
       [](int count) { return BytesOf(count, 10, 0, 0); },
       [](int count) { return DecideNs(count, 10, 0); }},
      {"account",
       {100, 500, 1500, kPlanAccounts},
       [](int count) { return BytesOf(9, count, 0, 0); },
       [](int count) { return DecideNs(9, count, 0); }},
      {"waiting_request",
       {500, 2000, 5000, 10000},
       [](int count) { return BytesOf(1, 100, 1, count); },
       [](int count) { return DecideNs(1, 100, count); }},
      {"open_stream",
       {100, 400, 1000, 2000},
       [](int count) { return BytesOf(1, 100, count, 0); },
       [](int count) { return TickNs(count); }},
  };
  return sizes;
}

// The least-squares line through points; `residual` is the largest distance
// from it as a part of the largest value.
struct Line {
  double slope = 0.0;
  double residual = 0.0;
};

Line FitLine(const std::vector<int>& x, const std::vector<double>& y) {
  const double n = static_cast<double>(x.size());
  double sx = 0.0;
  double sy = 0.0;
  double sxx = 0.0;
  double sxy = 0.0;
  for (size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += static_cast<double>(x[i]) * x[i];
    sxy += x[i] * y[i];
  }
  Line line;
  line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double start = (sy - line.slope * sx) / n;
  double largest = 0.0;
  for (size_t i = 0; i < x.size(); ++i) {
    const double distance = std::fabs(y[i] - start - line.slope * x[i]);
    line.residual = std::max(line.residual, distance);
    largest = std::max(largest, std::fabs(y[i]));
  }
  line.residual /= largest;
  return line;
}

std::vector<Figure> RunSlopes(bool is_bytes) {
  std::vector<Figure> figures;
  const std::string unit = is_bytes ? "bytes" : "ns";
  for (const Sizes& sizes : AllSizes()) {
    const std::string name =
        absl::StrCat("capacity.scheduler_", unit, "[", sizes.what);
    std::vector<double> values;
    for (int count : sizes.counts) {
      values.push_back(is_bytes ? sizes.bytes(count) : sizes.ns(count));
      figures.push_back({.name = absl::StrCat(name, ",", count, "]"),
                         .value = values.back(),
                         .unit = unit});
    }
    const Line line = FitLine(sizes.counts, values);
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
