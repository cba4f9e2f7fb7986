#ifndef INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
#define INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "include/admission/spending_routers.h"
#include "include/admission/usage_messages.h"
#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// The quota of one client account across all routers: a token bucket that holds
// at most `burst` tokens and refills at `rate` tokens a second.
struct AccountLimit {
  AccountId account;
  double rate = 0.0;
  double burst = 0.0;
};

// How far an account may exceed its quota. In any `window` it may spend (rate x
// window + burst) x (1 + overage) + slack. `overage` and `slack` cover spending
// that routers cannot report to each other in time.
struct QuotaAllowance {
  Duration window = std::chrono::seconds(8);
  double overage = 0.0;
  double slack = 0.0;

  bool operator==(const QuotaAllowance&) const = default;
};

// Returns the bucket that keeps `limit` within `allowance`. Quota that is
// rejected cannot be used later, so the bucket holds a part of what is allowed
// beyond the rate. The rest covers quota that is spent twice between two
// messages of a router, and quota spent again after a restart.
AccountLimit MakeBucket(const AccountLimit& limit,
                        const QuotaAllowance& allowance);

// Enforces the quotas of client accounts together with the other routers. A
// hash chooses one router as the owner of each account's bucket. The other
// routers report their spending to the owner and receive the remaining total,
// so the number of messages grows with the number of accounts, not with the
// square of the number of routers. A router without a recent total limits
// itself to an even share. Quota may be spent twice between two messages; the
// bucket level then becomes negative, and later requests are rejected until it
// has refilled. Does no I/O and reads no clock. Not thread-safe.
//
// Routers that were known lately and cannot be reached may be on the other side
// of a partition, with another owner. More than two owners are possible while
// the views of the routers differ. An owner fills its bucket at the share of
// the routers that report to it, as each router reports to one owner only; so
// all owners together grant the quota once. In a large fleet, it fills it at
// the share of the routers that it can reach. An owner that takes a bucket over
// begins with a small part of it, as the rest may have been spent since the
// last total that it has.
//
// In a large fleet, each router sees few requests of each account, and its even
// share is smaller than one request. There a router asks the owner before it
// decides on a request, and reports what it has spent and what the requests
// that wait for the answer will spend.
class AccountQuotas {
 public:
  struct Options {
    RouterId self;
    Incarnation incarnation;
    // Interval between reports on an account that is near its quota, and on any
    // other account.
    Duration near_quota_interval = std::chrono::milliseconds(100);
    Duration normal_interval = std::chrono::seconds(1);
    // After this time without an answer a report counts as lost, and the owner
    // as possibly dead.
    Duration answer_timeout = std::chrono::milliseconds(250);
    // A total older than this is ignored.
    Duration message_lifetime = std::chrono::milliseconds(2500);
    // In fleets whose routers report regularly, an owner grants nothing for one
    // whose last report is older. Longer than `normal_interval`.
    Duration silence_limit = std::chrono::milliseconds(1500);
    // How long the last report of a router is kept, and how long a router that
    // cannot be reached is assumed to spend its share.
    Duration unreachable_time = std::chrono::minutes(30);
    // Time for which spending that may be unknown counts against an account.
    Duration window = std::chrono::seconds(8);
    // In fleets of this size or more, routers ask before they decide. Routers
    // that cannot be reached count, as the shares stay as small without them.
    size_t min_asking_fleet = 24;
    // A total is recent enough to decide on a request without asking until it
    // is this old. It bounds what many routers together spend of one total.
    Duration ask_validity = std::chrono::milliseconds(100);
    // True if the fleet starts for the first time, so nothing was spent before.
    bool is_first_start = true;
  };

  struct Hooks {
    std::function<void(const RouterId&, const UsageReport&)> report;
    std::function<void(const RouterId&, const UsageTotals&)> answer;
    // The share of the quotas that the routers in reach may grant has changed
    // by a tenth or more, or is whole again. May be unset.
    std::function<void(double share)> share_changed;
  };

  AccountQuotas(Options options, Hooks hooks, TimePoint now);

  // Sets the accounts that have quotas. Accounts that stay keep their spending.
  void SetLimits(const std::vector<AccountLimit>& limits, TimePoint now);
  // Sets the running routers; this router is added if it is missing.
  void SetRouters(const std::vector<RouterId>& routers, TimePoint now);

  // Call when a request of `cost` arrives. Returns true if the account's owner
  // has to be asked before Spend is called for it, and asks it. The request
  // then waits until MustWait returns false or `answer_timeout` has passed.
  // Call EndWait at the end of the wait, also for a request that is dropped.
  bool AskOwner(const AccountId& account, double cost, TimePoint now);
  // Returns true while a request that waits has no answer, and asks again if
  // the answer did not cover it. Call after each OnTotals.
  bool MustWait(const AccountId& account, double cost, TimePoint now);
  void EndWait(const AccountId& account, double cost);

  // Takes `cost` from the account's quota. If too little is left, takes nothing
  // and returns the time after which there may be enough. When an account
  // exceeds its quota, its lower tiers are rejected first, because they leave a
  // part of the bucket to the higher tiers.
  std::optional<Duration> Spend(const AccountId& account,
                                Tier tier,
                                double cost,
                                TimePoint now);
  // Returns `cost` to the account's quota, for a request that did not run.
  void Refund(const AccountId& account, double cost, TimePoint now);

  void OnReport(const RouterId& from, const UsageReport& report, TimePoint now);
  void OnTotals(const RouterId& from, const UsageTotals& totals, TimePoint now);

  // Must be called at least every 100 ms.
  void OnTick(TimePoint now);

 private:
  // A token bucket, given by its level at the time `filled`.
  struct Bucket {
    double level = 0.0;
    TimePoint filled;

    void Fill(double rate, double burst, TimePoint now);
  };

  // The latest report of another router.
  struct Report {
    Incarnation incarnation;
    double spent = 0.0;
    TimePoint received;
    // True if the router could not be reached since then.
    bool was_unreachable = false;
  };

  struct Account {
    AccountLimit limit;
    // The router that owns the account's bucket, the time when it became the
    // owner, and whether another one did within the window before.
    RouterId owner;
    std::optional<TimePoint> owner_since;
    bool had_recent_owners = false;
    // Tokens spent by this process since its start, and the cost of requests
    // that wait for the owner's answer.
    double spent = 0.0;
    double waiting = 0.0;
    // The amount in the last report: `spent`, and `waiting` if the bucket held
    // enough. More than `spent` if requests are still to be decided.
    double reported = 0.0;
    // The part of `spent` that an owner has acknowledged, and the owner that
    // received this figure as the baseline. A new owner receives the baseline
    // first and counts only the spending after it.
    double acknowledged = 0.0;
    RouterId baseline_sent_to;
    // Even share of this router, used while it has no recent total.
    Bucket local_bucket;
    // The remaining total as the owner sent it, less what was spent here since
    // the report that it answers, and the time when it arrived.
    std::optional<double> remaining;
    TimePoint received;
    // How much may be spent before the next total arrives.
    double unreported_limit = 0.0;
    // Time of the first report that has not been answered.
    std::optional<TimePoint> unanswered_since;
    TimePoint last_report;
    // Time of the last question to the owner.
    TimePoint last_ask;
    // The account's bucket, if this router is or was its owner.
    std::optional<Bucket> owned_bucket;
    std::map<RouterId, Report> reports;
  };

  bool IsOwner(const Account& account) const {
    return account.owner == options_.self;
  }
  // Sets the account's owner after a change of the routers.
  void UpdateOwner(Account* account, TimePoint now);
  void AnnounceShare();
  // The fraction of the account's quota that its owner may grant.
  double ShareOf(const Account& account, TimePoint now) const;
  // Level assumed for a bucket of size `burst` whose history is unknown.
  double UnknownLevel(double burst) const;
  // Initial level of a bucket that this router becomes the owner of.
  double InitialOwnedLevel(const Account& account, TimePoint now) const;
  Bucket& OwnedBucket(Account* account, TimePoint now);
  bool HasRecentTotal(const Account& account, TimePoint now) const;
  // Tokens that this router may spend now, as far as it knows.
  double Available(Account* account, TimePoint now);
  // What this router may spend of a new total before it reports.
  double UnreportedLimit(const Account& account, TimePoint now) const;
  bool IsNearQuota(const Account& account) const;
  // The amount to report for the account.
  double AmountOf(const Account& account) const;
  // True if a request of `cost` may be decided on by the last total.
  bool CanDecide(const Account& account, double cost, TimePoint now) const;
  // Sends a report on the account unless one waits for its answer.
  void Ask(NameHash hash, Account* account, TimePoint now);
  // Returns the account if its owner is to be asked, else null.
  Account* FindAsking(const AccountId& account);
  bool AsksOwners() const {
    return routers_.known() >= options_.min_asking_fleet;
  }
  // True if the account has to be reported to its owner now.
  bool IsReportDue(const Account& account, TimePoint now) const;
  // Reports by the owner that they are for.
  using ReportsByOwner = std::map<RouterId, UsageReport>;
  // Adds the account's spending to `reports`, and to `baselines` if the owner
  // has no baseline yet.
  void AddReport(NameHash hash,
                 Account* account,
                 TimePoint now,
                 ReportsByOwner* baselines,
                 ReportsByOwner* reports) const;
  void SendReports(const ReportsByOwner& baselines,
                   const ReportsByOwner& reports) const;

  const Options options_;
  const Hooks hooks_;
  const TimePoint started_;
  SpendingRouters routers_;
  // The share that was last passed to `share_changed`.
  double announced_share_ = 1.0;
  std::map<NameHash, Account> accounts_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_ACCOUNT_QUOTA_H_
