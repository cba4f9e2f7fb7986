#include "include/admission/account_quota.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr double kBucketExcessFraction = 0.4;
// Initial level, as a fraction of the burst, of a bucket whose history is
// unknown. It is low because several buckets may lose their history within one
// window, after their tokens were already spent.
constexpr double kUnknownLevelFraction = 0.05;
// An account is near its quota if less than kNearQuotaLevel of its bucket is
// left, or if more than kNearQuotaUnreported of the bucket was spent and not
// reported.
constexpr double kNearQuotaLevel = 0.6;
constexpr double kNearQuotaUnreported = 0.04;
// Routers that start together discover each other within kDiscoveryTime. Until
// then there may be kAssumedRouters of them.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(1500);
constexpr double kAssumedRouters = 7.0;
// A router may spend this many even shares of the remaining total before it
// reports, because callers are spread unevenly over routers.
constexpr double kMaxUnreportedShares = 3.0;
// Longest time for which a router adds refill, at the full rate, to a received
// total.
constexpr Duration kTotalsInterval = std::chrono::milliseconds(150);
// Bounds of the retry delay. A caller that retries too early is rejected again;
// one that retries too late loses time.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

NameHash HashOf(const AccountId& account) {
  return NameHash(static_cast<uint32_t>(StableHash(account.value())));
}

}  // namespace

AccountLimit MakeBucket(const AccountLimit& limit,
                        const QuotaAllowance& allowance) {
  const double window = ToSeconds(allowance.window);
  const double allowed =
      (limit.rate * window + limit.burst) * (1.0 + allowance.overage) +
      allowance.slack;
  AccountLimit bucket = limit;
  bucket.burst = std::max(
      limit.burst, kBucketExcessFraction * (allowed - limit.rate * window));
  return bucket;
}

void AccountQuotas::Bucket::Fill(double rate, double burst, TimePoint now) {
  if (now > filled) {
    level = std::min(burst, level + rate * ToSeconds(now - filled));
    filled = now;
  }
}

namespace {

// Returns the tokens that a request of `tier` must leave in a bucket of size
// `burst` for higher tiers.
double ReserveOf(Tier tier, double cost, double burst) {
  // Fraction of the bucket reserved for higher tiers, by tier.
  constexpr std::array<double, kTierCount> kReserves = {0.0, 0.0, 0.1, 0.2};
  // Requests that cost at most this fraction of the bucket need no reserve.
  constexpr double kSmallCostFraction = 0.02;
  return cost <= kSmallCostFraction * burst
             ? 0.0
             : kReserves[TierIndex(tier)] * burst;
}

}  // namespace

AccountQuotas::AccountQuotas(Options options, Hooks hooks, TimePoint now)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      started_(now),
      routers_{options_.self} {}

void AccountQuotas::SetLimits(const std::vector<AccountLimit>& limits,
                              TimePoint now) {
  std::map<NameHash, Account> accounts;
  for (const AccountLimit& limit : limits) {
    const NameHash hash = HashOf(limit.account);
    const bool is_new = !accounts_.contains(hash);
    Account& account = accounts[hash];
    account = std::move(accounts_[hash]);
    account.limit = limit;
    account.owner = FindOwner(limit.account);
    if (is_new) {
      account.local_bucket = {
          .level = UnknownLevel(limit.burst) / CountSpendingRouters(now),
          .filled = now};
    }
  }
  accounts_ = std::move(accounts);
}

void AccountQuotas::SetRouters(const std::vector<RouterId>& routers,
                               TimePoint now) {
  std::vector<RouterId> live = routers;
  if (std::find(live.begin(), live.end(), options_.self) == live.end()) {
    live.push_back(options_.self);
  }
  if (live == routers_) {
    return;
  }
  const absl::flat_hash_set<RouterId> listed(routers.begin(), routers.end());
  for (const RouterId& router : routers_) {
    if (!listed.contains(router)) {
      unresponsive_.emplace(router, now);
    }
  }
  for (const RouterId& router : routers) {
    unresponsive_.erase(router);
  }
  routers_ = std::move(live);
  for (auto& [hash, account] : accounts_) {
    account.owner = FindOwner(account.limit.account);
  }
}

const RouterId& AccountQuotas::FindOwner(const AccountId& account) const {
  const uint64_t seed = StableHash(account.value());
  const RouterId* owner = &routers_.front();
  uint64_t greatest = StableHash(owner->value(), seed);
  for (const RouterId& router : routers_) {
    const uint64_t weight = StableHash(router.value(), seed);
    if (weight > greatest) {
      greatest = weight;
      owner = &router;
    }
  }
  return *owner;
}

bool AccountQuotas::MayMissRouters(TimePoint now) const {
  return !options_.is_first_start && routers_.size() == 1 &&
         now - started_ < kDiscoveryTime;
}

double AccountQuotas::CountSpendingRouters(TimePoint now) const {
  const double known =
      static_cast<double>(routers_.size() + unresponsive_.size());
  return MayMissRouters(now) ? std::max(known, kAssumedRouters) : known;
}

double AccountQuotas::UnresponsiveFraction(const Account& account,
                                           TimePoint now) const {
  double unresponsive = 0.0;
  for (const auto& [router, report] : account.reports) {
    // In a large fleet, a router that spends nothing sends no reports.
    const bool is_expected = !AsksOwners() || unresponsive_.contains(router);
    unresponsive +=
        is_expected && now - report.received > options_.message_lifetime ? 1.0
                                                                         : 0.0;
  }
  return std::min(1.0, unresponsive / CountSpendingRouters(now));
}

double AccountQuotas::UnknownLevel(double burst) const {
  return options_.is_first_start ? burst : kUnknownLevelFraction * burst;
}

double AccountQuotas::InitialOwnedLevel(const Account& account) const {
  const double unknown = UnknownLevel(account.limit.burst);
  // `remaining` is the total of the previous owner, less what was spent here
  // since.
  return account.remaining.has_value() ? std::min(*account.remaining, unknown)
                                       : unknown;
}

AccountQuotas::Bucket& AccountQuotas::OwnedBucket(Account* account,
                                                  TimePoint now) {
  const AccountLimit& limit = account->limit;
  if (!account->owned_bucket.has_value()) {
    account->owned_bucket = {.level = InitialOwnedLevel(*account),
                             .filled = now};
  }
  account->owned_bucket->Fill(
      limit.rate * (1.0 - UnresponsiveFraction(*account, now)), limit.burst,
      now);
  return *account->owned_bucket;
}

bool AccountQuotas::HasRecentTotal(const Account& account,
                                   TimePoint now) const {
  return account.remaining.has_value() &&
         now - account.received <= options_.message_lifetime &&
         (!account.unanswered_since.has_value() ||
          now - *account.unanswered_since <= options_.answer_timeout);
}

double AccountQuotas::Available(Account* account, TimePoint now) {
  const AccountLimit& limit = account->limit;
  if (IsOwner(*account) && !MayMissRouters(now)) {
    return OwnedBucket(account, now).level;
  }
  account->local_bucket.Fill(limit.rate / CountSpendingRouters(now),
                             limit.burst / CountSpendingRouters(now), now);
  if (!HasRecentTotal(*account, now)) {
    return account->local_bucket.level;
  }
  const Duration age = std::min(now - account->received, kTotalsInterval);
  return *account->remaining + limit.rate * ToSeconds(age);
}

bool AccountQuotas::AskOwner(const AccountId& name,
                             double cost,
                             TimePoint now) {
  const auto found = accounts_.find(HashOf(name));
  if (found == accounts_.end() || found->second.limit.rate <= 0.0 ||
      !AsksOwners() || IsOwner(found->second)) {
    return false;
  }
  Account& account = found->second;
  const double unreported = account.spent - account.reported;
  const bool is_recent = account.remaining.has_value() &&
                         now - account.received <= options_.ask_validity;
  if (is_recent &&
      (unreported <= 0.0 || unreported + cost <= account.unreported_limit)) {
    return false;
  }
  const bool is_asked = account.unanswered_since.has_value() &&
                        now - account.last_ask < options_.ask_validity;
  if (!is_asked) {
    account.last_ask = now;
    ReportsByOwner baselines;
    ReportsByOwner reports;
    AddReport(found->first, &account, now, &baselines, &reports);
    SendReports(baselines, reports);
  }
  return true;
}

std::optional<Duration> AccountQuotas::Spend(const AccountId& name,
                                             Tier tier,
                                             double cost,
                                             TimePoint now) {
  const auto found = accounts_.find(HashOf(name));
  if (found == accounts_.end() || found->second.limit.rate <= 0.0) {
    return std::nullopt;
  }
  Account& account = found->second;
  // A request larger than the bucket needs a full bucket.
  const double burst = account.limit.burst;
  const double needed = std::min(cost + ReserveOf(tier, cost, burst), burst);
  double deficit = needed - Available(&account, now);
  // Other routers may spend the same quota meanwhile. One unreported request is
  // always allowed; otherwise a large one would never be.
  const double unreported = account.spent - account.reported;
  if (!IsOwner(account) && HasRecentTotal(account, now) && unreported > 0.0) {
    deficit = std::max(deficit, unreported + cost - account.unreported_limit);
  }
  if (deficit > 0.0) {
    return std::clamp(SecondsToDuration(deficit / account.limit.rate),
                      kMinRetryDelay, kMaxRetryDelay);
  }
  account.spent += cost;
  account.local_bucket.level -= cost;
  if (account.remaining.has_value()) {
    *account.remaining -= cost;
  }
  if (IsOwner(account)) {
    OwnedBucket(&account, now).level -= cost;
  }
  return std::nullopt;
}

void AccountQuotas::Refund(const AccountId& name, double cost, TimePoint now) {
  const auto found = accounts_.find(HashOf(name));
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.spent -= cost;
  account.local_bucket.level += cost;
  if (account.remaining.has_value()) {
    *account.remaining += cost;
  }
  if (IsOwner(account)) {
    OwnedBucket(&account, now).level += cost;
  }
}

void AccountQuotas::OnReport(const RouterId& from,
                             const UsageReport& report,
                             TimePoint now) {
  UsageTotals totals;
  for (const AccountUsage& usage : report.accounts) {
    const auto found = accounts_.find(usage.account);
    if (found == accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    Bucket& bucket = OwnedBucket(&account, now);
    const auto known = account.reports.find(from);
    // A first report is only a baseline: its spending was counted by the
    // previous owner. Later reports are charged by their difference.
    if (known != account.reports.end()) {
      const bool is_same = known->second.incarnation == report.incarnation;
      bucket.level -= usage.amount - (is_same ? known->second.spent : 0.0);
    }
    account.reports[from] = {.incarnation = report.incarnation,
                             .spent = usage.amount,
                             .received = now};
    totals.accounts.push_back(
        {.account = usage.account, .amount = bucket.level});
  }
  if (!totals.accounts.empty()) {
    hooks_.answer(from, totals);
  }
}

void AccountQuotas::OnTotals(const RouterId& from,
                             const UsageTotals& totals,
                             TimePoint now) {
  for (const AccountUsage& usage : totals.accounts) {
    const auto found = accounts_.find(usage.account);
    if (found == accounts_.end() || found->second.owner != from) {
      continue;
    }
    Account& account = found->second;
    account.remaining = usage.amount - (account.spent - account.reported);
    account.unreported_limit =
        *account.remaining *
        std::min(1.0, kMaxUnreportedShares / CountSpendingRouters(now));
    account.unanswered_since.reset();
    account.received = now;
    account.acknowledged = account.reported;
  }
}

bool AccountQuotas::IsNearQuota(const Account& account) const {
  const double burst = account.limit.burst;
  return account.spent - account.reported > kNearQuotaUnreported * burst ||
         (account.remaining.has_value() &&
          *account.remaining < kNearQuotaLevel * burst);
}

void AccountQuotas::OnTick(TimePoint now) {
  std::erase_if(unresponsive_, [this, now](const auto& item) {
    return now - item.second > options_.unresponsive_share_time;
  });
  ReportsByOwner baselines;
  ReportsByOwner reports;
  for (auto& [hash, account] : accounts_) {
    std::erase_if(account.reports, [this, now](const auto& item) {
      return now - item.second.received > options_.unresponsive_share_time;
    });
    if (IsOwner(account)) {
      account.acknowledged = account.spent;
      account.baseline_sent_to = account.owner;
      continue;
    }
    if (IsReportDue(account, now)) {
      AddReport(hash, &account, now, &baselines, &reports);
    }
  }
  SendReports(baselines, reports);
}

bool AccountQuotas::IsReportDue(const Account& account, TimePoint now) const {
  if (account.limit.rate <= 0.0) {
    return false;
  }
  if (AsksOwners()) {
    return account.spent != account.reported &&
           now >= account.last_report + options_.near_quota_interval;
  }
  const Duration interval = IsNearQuota(account) ? options_.near_quota_interval
                                                 : options_.normal_interval;
  const bool is_used = account.spent != 0.0 || account.remaining.has_value();
  return is_used && now >= account.last_report + interval;
}

void AccountQuotas::AddReport(NameHash hash,
                              Account* account,
                              TimePoint now,
                              ReportsByOwner* baselines,
                              ReportsByOwner* reports) const {
  if (account->baseline_sent_to != account->owner) {
    account->baseline_sent_to = account->owner;
    UsageReport& baseline = (*baselines)[account->owner];
    baseline.incarnation = options_.incarnation;
    baseline.accounts.push_back(
        {.account = hash, .amount = account->acknowledged});
  }
  account->last_report = now;
  account->reported = account->spent;
  if (!account->unanswered_since.has_value()) {
    account->unanswered_since = now;
  }
  UsageReport& report = (*reports)[account->owner];
  report.incarnation = options_.incarnation;
  report.accounts.push_back({.account = hash, .amount = account->spent});
}

void AccountQuotas::SendReports(const ReportsByOwner& baselines,
                                const ReportsByOwner& reports) const {
  for (const auto& [router, report] : baselines) {
    hooks_.report(router, report);
  }
  for (const auto& [router, report] : reports) {
    hooks_.report(router, report);
  }
}

}  // namespace papaya
