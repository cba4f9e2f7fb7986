#include "include/admission/account_quota.h"

#include <algorithm>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// A window is counted in so many steps.
constexpr int64_t kSteps = 32;
// An account that has used this part of its quota is near it.
constexpr double kPressedPart = 0.6;
// Growth of the others' usage is followed for this long at most without a word.
constexpr Duration kGrowthTime = std::chrono::milliseconds(500);
// Waiting for a quota: a caller that comes too soon is refused again, one that
// comes too late has lost time.
constexpr Duration kShortestWait = std::chrono::milliseconds(200);
constexpr Duration kLongestWait = std::chrono::seconds(2);

NameHash HashOf(const AccountId& account) {
  return NameHash(static_cast<uint32_t>(StableHash(account.value())));
}

}  // namespace

void AccountQuotas::SlidingSum::Add(double amount,
                                    Duration window,
                                    TimePoint now) {
  const Duration step = window / kSteps;
  steps_[now.time_since_epoch() / step] += amount;
  sum_ += amount;
}

double AccountQuotas::SlidingSum::Get(Duration window, TimePoint now) {
  const Duration step = window / kSteps;
  const int64_t first = now.time_since_epoch() / step - kSteps;
  while (!steps_.empty() && steps_.begin()->first < first) {
    sum_ -= steps_.begin()->second;
    steps_.erase(steps_.begin());
  }
  if (steps_.empty()) {
    sum_ = 0.0;
  }
  return std::max(0.0, sum_);
}

AccountQuotas::AccountQuotas(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      routers_{options_.self} {}

void AccountQuotas::SetLimits(const std::vector<AccountLimit>& limits) {
  std::map<NameHash, Account> accounts;
  for (const AccountLimit& limit : limits) {
    const NameHash hash = HashOf(limit.account);
    accounts[hash] = std::move(accounts_[hash]);
    accounts[hash].limit = limit;
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
}

const RouterId& AccountQuotas::CounterOf(const AccountId& account) const {
  return *std::max_element(
      routers_.begin(), routers_.end(),
      [&account](const RouterId& a, const RouterId& b) {
        return StableHash(a.value(), StableHash(account.value())) <
               StableHash(b.value(), StableHash(account.value()));
      });
}

double AccountQuotas::LimitOf(const Account& account) const {
  return account.limit.rate * ToSeconds(options_.window) + account.limit.burst;
}

double AccountQuotas::CountOthers(const Account& account,
                                  const RouterId& except,
                                  TimePoint now) const {
  const double fleet = static_cast<double>(routers_.size() + silent_.size());
  const double share = LimitOf(account) / fleet;
  double sum = 0.0;
  for (const auto& [router, word] : account.words) {
    if (router == except) {
      continue;
    }
    const bool is_silent = now - word.heard > options_.word_lifetime;
    // It may go on with its share, unheard; never with more.
    sum += is_silent ? share : word.used;
  }
  return sum;
}

double AccountQuotas::Others(const Account& account, TimePoint now) const {
  if (CounterOf(account.limit.account) == options_.self) {
    return CountOthers(account, options_.self, now);
  }
  if (!account.heard.has_value() ||
      now - *account.heard > options_.word_lifetime) {
    const double fleet = static_cast<double>(routers_.size() + silent_.size());
    return LimitOf(account) * (1.0 - 1.0 / fleet);
  }
  const Duration age = std::min(now - *account.heard, kGrowthTime);
  return account.others + account.others_growth * ToSeconds(age);
}

std::optional<Duration> AccountQuotas::Spend(const AccountId& account,
                                             double cost,
                                             TimePoint now) {
  const auto found = accounts_.find(HashOf(account));
  if (found == accounts_.end() || found->second.limit.rate <= 0.0) {
    return std::nullopt;
  }
  Account& state = found->second;
  const double used = state.own.Get(options_.window, now) + Others(state, now);
  const double over = used + cost - LimitOf(state);
  if (over > 0.0) {
    return std::clamp(SecondsToDuration(over / state.limit.rate), kShortestWait,
                      kLongestWait);
  }
  state.own.Add(cost, options_.window, now);
  return std::nullopt;
}

void AccountQuotas::GiveBack(const AccountId& account,
                             double cost,
                             TimePoint now) {
  const auto found = accounts_.find(HashOf(account));
  if (found != accounts_.end()) {
    found->second.own.Add(-cost, options_.window, now);
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
    account.words[from] = {.used = usage.used, .heard = now};
    const double others =
        account.own.Get(options_.window, now) + CountOthers(account, from, now);
    totals.accounts.push_back({.account = usage.account, .used = others});
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
    if (found == accounts_.end() ||
        CounterOf(found->second.limit.account) != from) {
      continue;
    }
    Account& account = found->second;
    const double seconds =
        account.heard.has_value() ? ToSeconds(now - *account.heard) : 0.0;
    account.others_growth =
        seconds > 0.0 ? std::max(0.0, (usage.used - account.others) / seconds)
                      : 0.0;
    account.others = usage.used;
    account.heard = now;
  }
}

void AccountQuotas::ForgetSilent(Account* account, TimePoint now) const {
  std::erase_if(account->words, [this, now](const auto& item) {
    return now - item.second.heard > options_.silence_time;
  });
}

void AccountQuotas::OnTick(TimePoint now) {
  std::erase_if(silent_, [this, now](const auto& item) {
    return now - item.second > options_.silence_time;
  });
  std::map<RouterId, UsageReport> reports;
  for (auto& [hash, account] : accounts_) {
    ForgetSilent(&account, now);
    const RouterId& counter = CounterOf(account.limit.account);
    if (counter == options_.self || account.limit.rate <= 0.0 ||
        now < account.next_report) {
      continue;
    }
    const double used = account.own.Get(options_.window, now);
    if (used <= 0.0 && !account.heard.has_value()) {
      continue;
    }
    const bool is_pressed =
        used + Others(account, now) > kPressedPart * LimitOf(account);
    account.next_report =
        now + (is_pressed ? options_.pressed_interval : options_.calm_interval);
    reports[counter].accounts.push_back({.account = hash, .used = used});
  }
  for (const auto& [router, report] : reports) {
    hooks_.report(router, report);
  }
}

}  // namespace papaya
