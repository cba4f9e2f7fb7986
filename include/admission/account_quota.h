#ifndef INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
#define INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/usage_messages.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The quota of one client account over all routers: in any window at most
// `rate` a second and `burst` beside it.
struct AccountLimit {
  AccountId account;
  double rate = 0.0;
  double burst = 0.0;
};

// Keeps client accounts to their quotas, together with the other routers. Each
// account is counted by one router, which a hash names: the others report their
// usage to it and hear what the rest use, so that messages grow with accounts
// and not with routers times routers. A router without that word keeps to an
// even share. Does no I/O and reads no clock; not thread-safe.
class AccountQuotas {
 public:
  struct Options {
    RouterId self;
    // Length of the sliding windows that quotas are counted in.
    Duration window = std::chrono::seconds(8);
    // Between reports on an account that is near its quota, and on another one.
    Duration pressed_interval = std::chrono::milliseconds(100);
    Duration calm_interval = std::chrono::seconds(1);
    // A word of the counting router older than this counts for nothing.
    Duration word_lifetime = std::chrono::milliseconds(2500);
    // A router that fell silent is taken to use its share for so long.
    Duration silence_time = std::chrono::seconds(30);
  };

  struct Hooks {
    std::function<void(const RouterId&, const UsageReport&)> report;
    std::function<void(const RouterId&, const UsageTotals&)> answer;
  };

  AccountQuotas(Options options, Hooks hooks);

  // The accounts that have quotas; what was used is kept.
  void SetLimits(const std::vector<AccountLimit>& limits);
  // The routers that run, this one among them.
  void SetRouters(const std::vector<RouterId>& routers, TimePoint now);

  // Takes `cost` from the account's quota. If there is too little of it, takes
  // nothing and gives the time after which there may be enough.
  std::optional<Duration> Spend(const AccountId& account,
                                double cost,
                                TimePoint now);
  // Gives back what was spent for a request that did not run.
  void GiveBack(const AccountId& account, double cost, TimePoint now);

  void OnReport(const RouterId& from, const UsageReport& report, TimePoint now);
  void OnTotals(const RouterId& from, const UsageTotals& totals, TimePoint now);

  // Call at least every 100 ms.
  void OnTick(TimePoint now);

  // The router that counts `account`.
  const RouterId& CounterOf(const AccountId& account) const;

 private:
  // Usage in the last window, in steps of a part of it.
  class SlidingSum {
   public:
    void Add(double amount, Duration window, TimePoint now);
    double Get(Duration window, TimePoint now);

   private:
    std::map<int64_t, double> steps_;
    double sum_ = 0.0;
  };

  // What a router reported last.
  struct Word {
    double used = 0.0;
    TimePoint heard;
  };

  struct Account {
    AccountLimit limit;
    SlidingSum own;
    // What the counting router said of the others, and how that grows.
    double others = 0.0;
    double others_growth = 0.0;
    std::optional<TimePoint> heard;
    TimePoint next_report;
    // Of the counting router: what the others reported.
    std::map<RouterId, Word> words;
  };

  double LimitOf(const Account& account) const;
  // What the other routers use, as far as this one knows.
  double Others(const Account& account, TimePoint now) const;
  double CountOthers(const Account& account,
                     const RouterId& except,
                     TimePoint now) const;
  void ForgetSilent(Account* account, TimePoint now) const;

  const Options options_;
  const Hooks hooks_;
  std::vector<RouterId> routers_;
  // Routers that fell silent, and when.
  std::map<RouterId, TimePoint> silent_;
  std::map<NameHash, Account> accounts_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
