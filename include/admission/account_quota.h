#ifndef INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
#define INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "include/admission/usage_messages.h"
#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// The quota of one client account over all routers: a token bucket of `burst`
// that fills at `rate` a second.
struct AccountLimit {
  AccountId account;
  double rate = 0.0;
  double burst = 0.0;
};

// What quotas are held to: in any `window` at most `rate` x window + burst,
// and `overage` of that and `slack` beside it, which cover what routers can't
// know of each other in time.
struct QuotaAllowance {
  Duration window = std::chrono::seconds(8);
  double overage = 0.0;
  double slack = 0.0;

  bool operator==(const QuotaAllowance&) const = default;
};

// The bucket that keeps `limit` within `allowance`. What is refused of a quota
// is lost to its account, so the bucket holds a part of what is allowed beyond
// the rate; the rest covers what is spent twice between two words of a router,
// and again after a restart.
AccountLimit MakeBucket(const AccountLimit& limit,
                        const QuotaAllowance& allowance);

// Keeps client accounts to their quotas, together with the other routers. Each
// account's bucket is kept by one router, which a hash names: the others report
// what they spent and hear what is left, so that messages grow with accounts
// and not with routers times routers. A router without that word keeps to an
// even share. What is spent between two words may be spent twice; the bucket
// then falls below zero and makes up for it. Does no I/O and reads no clock;
// not thread-safe.
class AccountQuotas {
 public:
  struct Options {
    RouterId self;
    Incarnation incarnation;
    // Between reports on an account that is near its quota, and on another one.
    Duration near_quota_interval = std::chrono::milliseconds(100);
    Duration normal_interval = std::chrono::seconds(1);
    // A report not answered by then is lost, and its router perhaps, too.
    Duration answer_timeout = std::chrono::milliseconds(250);
    // A word of the counting router older than this counts for nothing.
    Duration message_lifetime = std::chrono::milliseconds(2500);
    // A router that fell silent is taken to use its share for so long.
    Duration unresponsive_share_time = std::chrono::seconds(30);
    // The fleet starts for the first time, so nothing was spent before.
    bool is_first_start = true;
  };

  struct Hooks {
    std::function<void(const RouterId&, const UsageReport&)> report;
    std::function<void(const RouterId&, const UsageTotals&)> answer;
  };

  AccountQuotas(Options options, Hooks hooks, TimePoint now);

  // The accounts that have quotas; what was spent is kept.
  void SetLimits(const std::vector<AccountLimit>& limits, TimePoint now);
  // The routers that run, this one among them.
  void SetRouters(const std::vector<RouterId>& routers, TimePoint now);

  // Takes `cost` from the account's quota. If there is too little of it, takes
  // nothing and gives the time after which there may be enough. What an account
  // asks beyond its quota is lost from its lower tiers first: those leave a
  // part of the bucket to the upper ones.
  std::optional<Duration> Spend(const AccountId& account,
                                Tier tier,
                                double cost,
                                TimePoint now);
  // Gives back what was spent for a request that did not run.
  void Refund(const AccountId& account, double cost, TimePoint now);

  void OnReport(const RouterId& from, const UsageReport& report, TimePoint now);
  void OnTotals(const RouterId& from, const UsageTotals& totals, TimePoint now);

  // Call at least every 100 ms.
  void OnTick(TimePoint now);

 private:
  // A bucket, by its level at some time.
  struct Bucket {
    double level = 0.0;
    TimePoint filled;

    void Fill(double rate, double burst, TimePoint now);
  };

  // What a process reported last.
  struct Report {
    Incarnation incarnation;
    double spent = 0.0;
    TimePoint received;
  };

  struct Account {
    AccountLimit limit;
    // The router that keeps its bucket.
    RouterId owner;
    // Spent by this process since its start, and what of it was reported.
    double spent = 0.0;
    double reported = 0.0;
    // What of it some counting router has answered for, and the one that knows
    // so: another one is told first, and counts from there.
    double acknowledged = 0.0;
    RouterId baseline_sent_to;
    // Own even share, for want of a word.
    Bucket local_bucket;
    // What the counting router said is left, when that came, and what was spent
    // since the report that it answers.
    std::optional<double> remaining;
    TimePoint received;
    // What may be spent before the next word.
    double unreported_limit = 0.0;
    // Since when a report is unanswered.
    std::optional<TimePoint> unanswered_since;
    TimePoint last_report;
    // Of the counting router.
    std::optional<Bucket> owned_bucket;
    std::map<RouterId, Report> reports;
  };

  // The router whose hash with the account's name is the largest.
  const RouterId& FindOwner(const AccountId& account) const;
  bool IsOwner(const Account& account) const {
    return account.owner == options_.self;
  }
  // After a start others may run that are not met yet.
  bool MayMissRouters(TimePoint now) const;
  // Routers that may spend, met or not.
  double CountSpendingRouters(TimePoint now) const;
  // The part of the rate that routers may spend that can't be heard.
  double UnresponsivePart(const Account& account, TimePoint now) const;
  // What a bucket of `burst` holds of which this router knows nothing.
  double UnknownLevel(double burst) const;
  // What a bucket holds that this router begins to keep.
  double InitialOwnedLevel(const Account& account) const;
  Bucket& OwnedBucket(Account* account, TimePoint now);
  bool HasRecentTotal(const Account& account, TimePoint now) const;
  // What this router may spend now, as far as it knows.
  double Available(Account* account, TimePoint now);
  bool IsNearQuota(const Account& account) const;

  const Options options_;
  const Hooks hooks_;
  const TimePoint started_;
  std::vector<RouterId> routers_;
  // Routers that fell silent, and when.
  std::map<RouterId, TimePoint> unresponsive_;
  std::map<NameHash, Account> accounts_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
