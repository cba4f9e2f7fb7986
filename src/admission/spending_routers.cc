#include "include/admission/spending_routers.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Routers that start together discover each other within kDiscoveryTime.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(1500);
// Routers that restarted together are found by the others within kMergeTime
// (docs/MEMBERSHIP.md). Until then there may be kAssumedRouters of them.
constexpr Duration kMergeTime = std::chrono::seconds(3);
constexpr double kAssumedRouters = 7.0;
// Share that a restarted router grants until kMergeTime has passed. The others
// may take its group for alive and grant the whole quota meanwhile: 0.6 x 3 s
// of the rate fit into what QuotaAllowance leaves beyond the bucket.
constexpr double kMergingShare = 0.6;

}  // namespace

SpendingRouters::SpendingRouters(const Options& options, TimePoint now)
    : options_(options), started_(now), running_{options.self} {}

bool SpendingRouters::Set(const std::vector<RouterId>& routers, TimePoint now) {
  std::vector<RouterId> running = routers;
  if (std::find(running.begin(), running.end(), options_.self) ==
      running.end()) {
    running.push_back(options_.self);
  }
  if (running == running_) {
    return false;
  }
  const absl::flat_hash_set<RouterId> listed(running.begin(), running.end());
  for (const RouterId& router : running_) {
    if (!listed.contains(router)) {
      unreachable_.emplace(router, now);
    }
  }
  for (const RouterId& router : running) {
    unreachable_.erase(router);
  }
  running_ = std::move(running);
  return true;
}

void SpendingRouters::Forget(TimePoint now) {
  std::erase_if(unreachable_, [this, now](const auto& item) {
    return now - item.second > options_.unreachable_time;
  });
}

const RouterId& SpendingRouters::FindOwner(const AccountId& account) const {
  const uint64_t seed = StableHash(account.value());
  const RouterId* owner = &running_.front();
  uint64_t greatest = StableHash(owner->value(), seed);
  for (const RouterId& router : running_) {
    const uint64_t weight = StableHash(router.value(), seed);
    if (weight > greatest) {
      greatest = weight;
      owner = &router;
    }
  }
  return *owner;
}

bool SpendingRouters::MayBeAlone(TimePoint now) const {
  return !options_.is_first_start && running_.size() == 1 &&
         now - started_ < kDiscoveryTime;
}

bool SpendingRouters::MayMissOthers(TimePoint now) const {
  return !options_.is_first_start && now - started_ < kMergeTime;
}

double SpendingRouters::Count(TimePoint now) const {
  const double known =
      static_cast<double>(running_.size() + unreachable_.size());
  return MayMissOthers(now) ? std::max(known, kAssumedRouters) : known;
}

double SpendingRouters::ReachableFraction() const {
  return static_cast<double>(running_.size()) /
         static_cast<double>(running_.size() + unreachable_.size());
}

double SpendingRouters::Share(TimePoint now) const {
  const double share = static_cast<double>(running_.size()) / Count(now);
  return MayMissOthers(now) ? std::min(share, kMergingShare) : share;
}

}  // namespace papaya
