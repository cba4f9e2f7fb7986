#include "include/admission/account_quota.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr double kBucketExcessFraction = 0.4;
// Initial level, as a fraction of the burst, of a bucket whose history is
// unknown. It is low because several buckets may lose their history within one
// window, after their tokens were already spent.
constexpr double kUnknownLevelFraction = 0.08;
// The same for a bucket whose owner changes for the first time within a window,
// if this router knows the last total. Only one such level is granted in a
// window, so that an account with little traffic is not rejected.
constexpr double kFirstTakeoverFraction = 0.25;
// An account is near its quota if less than kNearQuotaLevel of its bucket is
// left, or if more than kNearQuotaUnreported of the bucket was spent and not
// reported.
constexpr double kNearQuotaLevel = 0.6;
constexpr double kNearQuotaUnreported = 0.04;
// A router may spend this many even shares of the remaining total before it
// reports, because callers are spread unevenly over routers.
constexpr double kMaxUnreportedShares = 3.0;
// What the owner and all other routers together may spend of the same total, in
// buckets. MakeBucket leaves room for 1 / kBucketExcessFraction of them, less
// what was spent before.
constexpr double kMaxSpentBuckets = 0.9 / kBucketExcessFraction;
// Waiting requests are reported as spent only while this fraction of the bucket
// is left. Of an account that exceeds its quota, most of them are rejected, and
// their cost would be missing in the bucket until the next report.
constexpr double kReserveLevel = 0.2;
// Size of the bucket that a router uses while it has no recent total, in even
// shares of the account's bucket. The owner may grant from the whole one until
// it notices that it cannot be reached.
constexpr double kLocalBucketShares = 0.5;
constexpr double kAnnouncedShareStep = 0.1;
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
      routers_({.self = options_.self,
                .is_first_start = options_.is_first_start,
                .unreachable_time = options_.unreachable_time},
               now) {}

void AccountQuotas::SetLimits(const std::vector<AccountLimit>& limits,
                              TimePoint now) {
  std::map<NameHash, Account> accounts;
  for (const AccountLimit& limit : limits) {
    const NameHash hash = HashOf(limit.account);
    const bool is_new = !accounts_.contains(hash);
    Account& account = accounts[hash];
    account = std::move(accounts_[hash]);
    account.limit = limit;
    UpdateOwner(&account, now);
    if (is_new) {
      account.local_bucket = {
          .level = UnknownLevel(limit.burst) / routers_.Count(now),
          .filled = now};
    }
  }
  accounts_ = std::move(accounts);
}

void AccountQuotas::SetRouters(const std::vector<RouterId>& routers,
                               TimePoint now) {
  if (!routers_.Set(routers, now)) {
    return;
  }
  for (auto& [hash, account] : accounts_) {
    UpdateOwner(&account, now);
    for (auto& [router, report] : account.reports) {
      report.was_unreachable |= routers_.IsUnreachable(router);
    }
  }
  AnnounceShare();
}

void AccountQuotas::AnnounceShare() {
  const double share = routers_.ReachableFraction();
  const bool is_whole_again = share == 1.0 && announced_share_ != 1.0;
  if (!is_whole_again &&
      std::abs(share - announced_share_) < kAnnouncedShareStep) {
    return;
  }
  announced_share_ = share;
  if (hooks_.share_changed) {
    hooks_.share_changed(share);
  }
}

void AccountQuotas::UpdateOwner(Account* account, TimePoint now) {
  const RouterId& owner = routers_.FindOwner(account->limit.account);
  if (owner == account->owner) {
    return;
  }
  account->had_recent_owners = account->owner_since.has_value() &&
                               now - *account->owner_since < options_.window;
  account->owner = owner;
  account->owner_since = now;
  if (!IsOwner(*account) || !account->owned_bucket.has_value()) {
    return;
  }
  // The bucket is of an earlier time as the owner, or of reports by routers
  // that knew this router as the owner first.
  Bucket& bucket = *account->owned_bucket;
  if (now - bucket.filled > options_.message_lifetime) {
    account->owned_bucket.reset();
    account->reports.clear();
    return;
  }
  // Other owners may have granted what was refilled meanwhile.
  bucket.level = std::min(bucket.level, InitialOwnedLevel(*account, now));
  bucket.filled = now;
}

double AccountQuotas::ShareOf(const Account& account, TimePoint now) const {
  const double share = routers_.Share(now);
  // In a large fleet, a router that spends nothing sends no reports. Nor has
  // one sent any yet if all have just started for the first time.
  const bool has_reports =
      !AsksOwners() &&
      !(options_.is_first_start && now - started_ <= options_.silence_limit);
  if (!has_reports) {
    return share;
  }
  double followers = IsOwner(account) ? 1.0 : 0.0;
  for (const auto& [router, report] : account.reports) {
    const bool is_recent = now - report.received <= options_.silence_limit;
    followers += is_recent ? 1.0 : 0.0;
  }
  return std::min(share, followers / routers_.Count(now));
}

double AccountQuotas::UnknownLevel(double burst) const {
  return options_.is_first_start ? burst : kUnknownLevelFraction * burst;
}

double AccountQuotas::InitialOwnedLevel(const Account& account,
                                        TimePoint now) const {
  const double burst = account.limit.burst;
  if (!account.remaining.has_value()) {
    // The first report has just arrived, and the others are on their way.
    return routers_.Share(now) * UnknownLevel(burst);
  }
  const double share = ShareOf(account, now);
  const double fraction = account.had_recent_owners ? kUnknownLevelFraction
                                                    : kFirstTakeoverFraction;
  // `remaining` is the total of the previous owner, less what was spent here
  // since.
  return std::min(*account.remaining, share * fraction * burst);
}

AccountQuotas::Bucket& AccountQuotas::OwnedBucket(Account* account,
                                                  TimePoint now) {
  const AccountLimit& limit = account->limit;
  if (!account->owned_bucket.has_value()) {
    account->owned_bucket = {.level = InitialOwnedLevel(*account, now),
                             .filled = now};
  }
  const double share = ShareOf(*account, now);
  account->owned_bucket->Fill(share * limit.rate, share * limit.burst, now);
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
  if (IsOwner(*account) && !routers_.MayBeAlone(now)) {
    return OwnedBucket(account, now).level;
  }
  account->local_bucket.Fill(
      limit.rate / routers_.Count(now),
      kLocalBucketShares * limit.burst / routers_.Count(now), now);
  if (!HasRecentTotal(*account, now)) {
    return account->local_bucket.level;
  }
  const Duration age = std::min(now - account->received, kTotalsInterval);
  return *account->remaining + limit.rate * ToSeconds(age);
}

AccountQuotas::Account* AccountQuotas::FindAsking(const AccountId& name) {
  const auto found = accounts_.find(HashOf(name));
  const bool asks = found != accounts_.end() &&
                    found->second.limit.rate > 0.0 && AsksOwners() &&
                    !IsOwner(found->second);
  return asks ? &found->second : nullptr;
}

bool AccountQuotas::CanDecide(const Account& account,
                              double cost,
                              TimePoint now) const {
  const double unreported = account.spent - account.reported;
  return account.remaining.has_value() &&
         now - account.received <= options_.ask_validity &&
         (unreported <= 0.0 || unreported + cost <= account.unreported_limit);
}

void AccountQuotas::Ask(NameHash hash, Account* account, TimePoint now) {
  const bool is_asked = account->unanswered_since.has_value() &&
                        now - account->last_ask < options_.ask_validity;
  if (is_asked) {
    return;
  }
  account->last_ask = now;
  ReportsByOwner baselines;
  ReportsByOwner reports;
  AddReport(hash, account, now, &baselines, &reports);
  SendReports(baselines, reports);
}

bool AccountQuotas::AskOwner(const AccountId& name,
                             double cost,
                             TimePoint now) {
  Account* account = FindAsking(name);
  if (account == nullptr || CanDecide(*account, cost, now)) {
    return false;
  }
  account->waiting += cost;
  Ask(HashOf(name), account, now);
  return true;
}

bool AccountQuotas::MustWait(const AccountId& name,
                             double cost,
                             TimePoint now) {
  Account* account = FindAsking(name);
  if (account == nullptr || CanDecide(*account, cost, now)) {
    return false;
  }
  Ask(HashOf(name), account, now);
  return true;
}

void AccountQuotas::EndWait(const AccountId& name, double cost) {
  const auto found = accounts_.find(HashOf(name));
  if (found != accounts_.end()) {
    found->second.waiting = std::max(0.0, found->second.waiting - cost);
  }
}

double AccountQuotas::AmountOf(const Account& account) const {
  // An owner that has not answered yet may take the report for the baseline,
  // and would never charge what waits.
  const bool is_known_to_owner = account.remaining.has_value() &&
                                 account.owner_since.has_value() &&
                                 account.received > *account.owner_since;
  const bool has_room =
      is_known_to_owner &&
      *account.remaining >= kReserveLevel * account.limit.burst;
  return has_room ? account.spent + account.waiting : account.spent;
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
    // previous owner. So is the first one after a partition, when the router
    // had another owner. Later reports are charged by their difference.
    const bool is_baseline =
        known == account.reports.end() ||
        (known->second.was_unreachable &&
         now - known->second.received > options_.message_lifetime);
    if (!is_baseline) {
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
    account.unreported_limit = UnreportedLimit(account, now);
    account.unanswered_since.reset();
    account.received = now;
    // Not more than was spent: the cost of requests that are rejected after all
    // must not be credited to the bucket of a later owner.
    account.acknowledged = std::min(account.spent, account.reported);
  }
}

double AccountQuotas::UnreportedLimit(const Account& account,
                                      TimePoint now) const {
  const double remaining = std::max(0.0, *account.remaining);
  const double routers = routers_.CountReachable(now);
  // Each router but the owner may spend this much.
  const double part =
      std::max(0.0, kMaxSpentBuckets * account.limit.burst - remaining) /
      std::max(1.0, routers - 1.0);
  return std::min(remaining * std::min(1.0, kMaxUnreportedShares / routers),
                  part);
}

bool AccountQuotas::IsNearQuota(const Account& account) const {
  const double burst = account.limit.burst;
  return account.spent - account.reported > kNearQuotaUnreported * burst ||
         (account.remaining.has_value() &&
          *account.remaining < kNearQuotaLevel * burst);
}

void AccountQuotas::OnTick(TimePoint now) {
  routers_.Forget(now);
  AnnounceShare();
  ReportsByOwner baselines;
  ReportsByOwner reports;
  for (auto& [hash, account] : accounts_) {
    std::erase_if(account.reports, [this, now](const auto& item) {
      return now - item.second.received > options_.unreachable_time;
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
    return AmountOf(account) != account.reported &&
           now >= account.last_report + options_.near_quota_interval;
  }
  const Duration interval = IsNearQuota(account) ? options_.near_quota_interval
                                                 : options_.normal_interval;
  // A new owner grants nothing for this router before its first report.
  return account.baseline_sent_to != account.owner ||
         now >= account.last_report + interval;
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
  account->reported = AmountOf(*account);
  if (!account->unanswered_since.has_value()) {
    account->unanswered_since = now;
  }
  UsageReport& report = (*reports)[account->owner];
  report.incarnation = options_.incarnation;
  report.accounts.push_back({.account = hash, .amount = account->reported});
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
