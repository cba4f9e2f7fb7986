#include "include/admission/account_quota.h"

#include <algorithm>
#include <array>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr double kBucketPart = 0.4;
// A bucket that nobody remembers has this part of its burst: several may be
// forgotten within one window, and what they held may have been spent.
constexpr double kUnknownPart = 0.05;
// An account is near its quota below this part of its bucket, or when this part
// of it was spent and not reported.
constexpr double kPressedLevel = 0.6;
constexpr double kPressedSpending = 0.04;
// Routers that start together meet within this time, and are taken to be so
// many till then.
constexpr Duration kMeetTime = std::chrono::milliseconds(1500);
constexpr double kUnmetRouters = 7.0;
// A router may spend so many even shares of what is left before it reports, as
// callers are spread unevenly.
constexpr double kMarginShares = 3.0;
// The refill that a router counts on between two words.
constexpr Duration kWordInterval = std::chrono::milliseconds(150);
// A caller that comes back too soon is refused again, one that comes too late
// has lost time.
constexpr Duration kShortestWait = std::chrono::milliseconds(200);
constexpr Duration kLongestWait = std::chrono::seconds(2);

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
  bucket.burst =
      std::max(limit.burst, kBucketPart * (allowed - limit.rate * window));
  return bucket;
}

void AccountQuotas::Bucket::Fill(double rate, double burst, TimePoint now) {
  if (now > filled) {
    level = std::min(burst, level + rate * ToSeconds(now - filled));
    filled = now;
  }
}

namespace {

// What a request of `tier` leaves in a bucket of `burst`.
double ReserveOf(Tier tier, double cost, double burst) {
  // By tier; the parts of the bucket that are left to upper tiers.
  constexpr std::array<double, kTierCount> kReserves = {0.0, 0.0, 0.1, 0.2};
  // What costs so little takes nothing from anybody.
  constexpr double kSmallPart = 0.02;
  return cost <= kSmallPart * burst ? 0.0 : kReserves[TierIndex(tier)] * burst;
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
    account.counter = FindCounter(limit.account);
    if (is_new) {
      account.share = {.level = UnknownLevel(limit.burst) / FleetSize(now),
                       .filled = now};
    }
  }
  accounts_ = std::move(accounts);
}

void AccountQuotas::SetRouters(const std::vector<RouterId>& routers,
                               TimePoint now) {
  for (const RouterId& router : routers_) {
    if (std::find(routers.begin(), routers.end(), router) == routers.end()) {
      silent_.emplace(router, now);
    }
  }
  for (const RouterId& router : routers) {
    silent_.erase(router);
  }
  routers_ = routers;
  if (std::find(routers_.begin(), routers_.end(), options_.self) ==
      routers_.end()) {
    routers_.push_back(options_.self);
  }
  for (auto& [hash, account] : accounts_) {
    account.counter = FindCounter(account.limit.account);
  }
}

const RouterId& AccountQuotas::FindCounter(const AccountId& account) const {
  const uint64_t seed = StableHash(account.value());
  return *std::max_element(routers_.begin(), routers_.end(),
                           [seed](const RouterId& a, const RouterId& b) {
                             return StableHash(a.value(), seed) <
                                    StableHash(b.value(), seed);
                           });
}

bool AccountQuotas::MayLackRouters(TimePoint now) const {
  return !options_.is_first_start && routers_.size() == 1 &&
         now - started_ < kMeetTime;
}

double AccountQuotas::FleetSize(TimePoint now) const {
  const double known = static_cast<double>(routers_.size() + silent_.size());
  return MayLackRouters(now) ? std::max(known, kUnmetRouters) : known;
}

double AccountQuotas::SilentPart(const Account& account, TimePoint now) const {
  double silent = 0.0;
  for (const auto& [router, report] : account.reports) {
    silent += now - report.heard > options_.word_lifetime ? 1.0 : 0.0;
  }
  return std::min(1.0, silent / FleetSize(now));
}

double AccountQuotas::UnknownLevel(double burst) const {
  return options_.is_first_start ? burst : kUnknownPart * burst;
}

double AccountQuotas::TakenOverLevel(const Account& account) const {
  const double unknown = UnknownLevel(account.limit.burst);
  // What the router that kept it before said last, less what was spent here.
  return account.left.has_value() ? std::min(*account.left, unknown) : unknown;
}

AccountQuotas::Bucket& AccountQuotas::FleetBucket(Account* account,
                                                  TimePoint now) {
  const AccountLimit& limit = account->limit;
  if (!account->fleet.has_value()) {
    account->fleet = {.level = TakenOverLevel(*account), .filled = now};
  }
  account->fleet->Fill(limit.rate * (1.0 - SilentPart(*account, now)),
                       limit.burst, now);
  return *account->fleet;
}

bool AccountQuotas::HasWord(const Account& account, TimePoint now) const {
  return account.left.has_value() &&
         now - account.heard <= options_.word_lifetime &&
         (!account.asked.has_value() ||
          now - *account.asked <= options_.answer_time);
}

double AccountQuotas::Available(Account* account, TimePoint now) {
  const AccountLimit& limit = account->limit;
  if (IsCounter(*account) && !MayLackRouters(now)) {
    return FleetBucket(account, now).level;
  }
  account->share.Fill(limit.rate / FleetSize(now), limit.burst / FleetSize(now),
                      now);
  if (!HasWord(*account, now)) {
    return account->share.level;
  }
  const Duration age = std::min(now - account->heard, kWordInterval);
  return *account->left + limit.rate * ToSeconds(age);
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
  // What is larger than the bucket needs a full one.
  const double burst = account.limit.burst;
  const double needed = std::min(cost + ReserveOf(tier, cost, burst), burst);
  double lacking = needed - Available(&account, now);
  // The others may spend the same quota meanwhile. One request is always
  // allowed, or a large one would never be.
  const double unreported = account.spent - account.reported;
  if (!IsCounter(account) && HasWord(account, now) && unreported > 0.0) {
    lacking = std::max(lacking, unreported + cost - account.margin);
  }
  if (lacking > 0.0) {
    return std::clamp(SecondsToDuration(lacking / account.limit.rate),
                      kShortestWait, kLongestWait);
  }
  account.spent += cost;
  account.share.level -= cost;
  if (account.left.has_value()) {
    *account.left -= cost;
  }
  if (IsCounter(account)) {
    FleetBucket(&account, now).level -= cost;
  }
  return std::nullopt;
}

void AccountQuotas::GiveBack(const AccountId& name,
                             double cost,
                             TimePoint now) {
  const auto found = accounts_.find(HashOf(name));
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.spent -= cost;
  account.share.level += cost;
  if (account.left.has_value()) {
    *account.left += cost;
  }
  if (IsCounter(account)) {
    FleetBucket(&account, now).level += cost;
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
    Bucket& bucket = FleetBucket(&account, now);
    const auto known = account.reports.find(from);
    // All that a process spent counts, unless it was counted elsewhere before
    // this router kept the bucket.
    if (known != account.reports.end()) {
      const bool is_same = known->second.incarnation == report.incarnation;
      bucket.level -= usage.amount - (is_same ? known->second.spent : 0.0);
    }
    account.reports[from] = {
        .incarnation = report.incarnation, .spent = usage.amount, .heard = now};
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
    if (found == accounts_.end() || found->second.counter != from) {
      continue;
    }
    Account& account = found->second;
    account.left = usage.amount - (account.spent - account.reported);
    account.margin =
        *account.left * std::min(1.0, kMarginShares / FleetSize(now));
    account.asked.reset();
    account.heard = now;
    account.settled = account.reported;
  }
}

bool AccountQuotas::IsPressed(const Account& account) const {
  const double burst = account.limit.burst;
  return account.spent - account.reported > kPressedSpending * burst ||
         (account.left.has_value() && *account.left < kPressedLevel * burst);
}

void AccountQuotas::OnTick(TimePoint now) {
  std::erase_if(silent_, [this, now](const auto& item) {
    return now - item.second > options_.silence_time;
  });
  std::map<RouterId, UsageReport> introductions;
  std::map<RouterId, UsageReport> reports;
  for (auto& [hash, account] : accounts_) {
    std::erase_if(account.reports, [this, now](const auto& item) {
      return now - item.second.heard > options_.silence_time;
    });
    if (IsCounter(account)) {
      account.settled = account.spent;
      account.introduced_to = account.counter;
      continue;
    }
    const Duration interval =
        IsPressed(account) ? options_.pressed_interval : options_.calm_interval;
    const bool is_used = account.spent != 0.0 || account.left.has_value();
    if (account.limit.rate <= 0.0 || !is_used ||
        now < account.last_report + interval) {
      continue;
    }
    if (account.introduced_to != account.counter) {
      account.introduced_to = account.counter;
      UsageReport& introduction = introductions[account.counter];
      introduction.incarnation = options_.incarnation;
      introduction.accounts.push_back(
          {.account = hash, .amount = account.settled});
    }
    account.last_report = now;
    account.reported = account.spent;
    if (!account.asked.has_value()) {
      account.asked = now;
    }
    UsageReport& report = reports[account.counter];
    report.incarnation = options_.incarnation;
    report.accounts.push_back({.account = hash, .amount = account.spent});
  }
  for (const auto& [router, report] : introductions) {
    hooks_.report(router, report);
  }
  for (const auto& [router, report] : reports) {
    hooks_.report(router, report);
  }
}

}  // namespace papaya
