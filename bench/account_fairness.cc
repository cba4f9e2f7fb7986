#include "bench/account_fairness.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace papaya::bench {

namespace {

constexpr size_t kAccounts = 5;
// Long enough for the four equal accounts to request nearly as many tokens as
// one another: each sends only about one request in nine seconds.
constexpr Duration kFairnessDuration = std::chrono::seconds(1800);

double AccountFairness(const SchedulingRun& run, uint64_t seed) {
  const std::unique_ptr<FakeFleet> fleet = RunFleet(run, seed);
  std::vector<double> offered(kAccounts, 0.0);
  std::vector<double> served(kAccounts, 0.0);
  for (const auto& [id, record] : fleet->records()) {
    if (record.spec.tier != Tier::kStandard) {
      continue;
    }
    const size_t account =
        static_cast<size_t>(record.spec.account.value().back() - '0');
    offered[account] += record.Value();
    served[account] += record.IsGood() ? record.Value() : 0.0;
  }
  double min_fraction = 1.0;
  double max_fraction = 0.0;
  for (size_t i = 1; i < kAccounts; ++i) {
    const double fraction = offered[i] > 0.0 ? served[i] / offered[i] : 1.0;
    min_fraction = std::min(min_fraction, fraction);
    max_fraction = std::max(max_fraction, fraction);
  }
  return max_fraction > 0.0 ? min_fraction / max_fraction : 0.0;
}

}  // namespace

double MeanAccountFairness(const SchedulingRun& run) {
  SchedulingRun shared = run;
  shared.duration = kFairnessDuration;
  shared.prepare = [](FakeFleet*, FakeTraffic* traffic) {
    traffic->SetAccountFractions({10.0, 1.0, 1.0, 1.0, 1.0});
  };
  return MeanOverSeeds(
      [&shared](uint64_t seed) { return AccountFairness(shared, seed); });
}

}  // namespace papaya::bench
