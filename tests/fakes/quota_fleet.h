#ifndef TESTS_FAKES_QUOTA_FLEET_H_
#define TESTS_FAKES_QUOTA_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "include/admission/account_quota.h"
#include "include/base/random.h"

namespace papaya {

// Time until a restarted router is known to the others, and they to it.
inline constexpr Duration kQuotaDiscoveryTime = std::chrono::milliseconds(400);
// Time until routers that cannot be reached are taken for dead, and time after
// the end of a partition until both sides are one fleet.
inline constexpr Duration kQuotaDeathTime = std::chrono::seconds(4);
inline constexpr Duration kQuotaRejoinTime = std::chrono::seconds(5);

// The account that the fleet serves, and how far it may exceed its quota.
struct QuotaCase {
  double rate = 160000.0;
  double burst = 160000.0;
  QuotaAllowance allowance{.window = std::chrono::seconds(8),
                           .overage = 0.1,
                           .slack = 140000.0};

  // The most that may be spent within any window.
  double Allowed() const {
    return (rate * ToSeconds(allowance.window) + burst) *
               (1.0 + allowance.overage) +
           allowance.slack;
  }
};

// Simulates routers that enforce the quota of one account together, with
// delayed messages, in virtual time.
class QuotaFleet {
 public:
  explicit QuotaFleet(int routers, uint64_t seed, QuotaCase quota = {})
      : random_(seed), quota_(quota) {
    for (int i = 0; i < routers; ++i) {
      names_.emplace_back("router-" + std::to_string(i));
      routers_.emplace_back();
      discovered_at_.emplace_back();
    }
    for (int i = 0; i < routers; ++i) {
      Start(i, /*is_first_start=*/true);
    }
  }

  // Kills a router for `down`. It loses its state, and the other routers do not
  // know it until it is discovered again.
  void Kill(int router, Duration down) {
    routers_[static_cast<size_t>(router)].reset();
    restarts_.emplace_back(now_ + down, router);
    UpdateRouters();
  }

  // Like Kill(), but the other routers do not notice.
  void KillUnnoticed(int router, Duration down) {
    routers_[static_cast<size_t>(router)].reset();
    restarts_.emplace_back(now_ + down, router);
  }

  // Drops all messages between this router and the others.
  void Cut(int router) { cut_ = router; }
  void Heal() { cut_ = -1; }

  // Parts these routers from the others. Either side takes the other for dead
  // after kQuotaDeathTime.
  void Partition(const std::set<size_t>& side) {
    side_ = side;
    apart_since_ = now_;
  }
  // Ends the partition. The sides are one fleet after kQuotaRejoinTime.
  void Rejoin() {
    last_side_ = std::exchange(side_, {});
    if (now_ - apart_since_ >= kQuotaDeathTime) {
      apart_until_ = now_ + kQuotaRejoinTime;
    }
  }

  // Kills these routers. They restart after `down`, before the others take them
  // for dead, and know only each other for `apart`.
  void RestartApart(const std::set<size_t>& group,
                    Duration down,
                    Duration apart) {
    for (const size_t router : group) {
      KillUnnoticed(static_cast<int>(router), down);
    }
    group_ = group;
    group_until_ = now_ + down + apart;
  }

  // Gives each router a view of its own: `views[i]` are the routers that router
  // i takes for alive and can send to, beside itself. Everything else is lost.
  void SetViews(std::vector<std::set<size_t>> views) {
    views_ = std::move(views);
    UpdateRouters();
  }

  // Gives the account another quota.
  void SetQuota(const QuotaCase& quota) {
    quota_ = quota;
    for (const std::unique_ptr<AccountQuotas>& quotas : routers_) {
      if (quotas != nullptr) {
        quotas->SetLimits({Limit()}, now_);
      }
    }
  }

  // Fraction of messages that is lost.
  double loss = 0.0;
  // Requests that arrive together.
  int requests_at_once = 1;
  // If set, the only router that callers send to.
  std::optional<size_t> only_router;

  // Sends requests with a total of `rate` tokens a second for `time`.
  void Load(double rate, double cost, Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Step();
      pending_cost_ += rate * ToSeconds(kStep);
      while (pending_cost_ >= cost) {
        pending_cost_ -= cost;
        Arrive(cost);
      }
    }
  }

  // Sends `requests` at the same moment to each router.
  void SendBatch(int requests, double cost) {
    for (size_t router = 0; router < routers_.size(); ++router) {
      for (int i = 0; i < requests; ++i) {
        Request(router, cost);
      }
    }
  }

  int requested() const { return requested_; }
  int rejected() const { return rejected_; }

  // Returns the largest cost admitted within any window.
  double Peak() const {
    double peak = 0.0;
    double sum = 0.0;
    size_t first = 0;
    for (const auto& [time, cost] : admitted_) {
      sum += cost;
      while (time - admitted_[first].first >= quota_.allowance.window) {
        sum -= admitted_[first].second;
        ++first;
      }
      peak = std::max(peak, sum);
    }
    return peak;
  }

 private:
  struct Message {
    TimePoint due;
    int from = 0;
    RouterId to;
    std::optional<UsageReport> report;
    std::optional<UsageTotals> totals;
  };

  // A request that waits for the owner's answer.
  struct Parked {
    TimePoint decide_at;
    size_t router = 0;
    double cost = 0.0;
  };

  AccountLimit Limit() const {
    return MakeBucket({.account = AccountId("teachers"),
                       .rate = quota_.rate,
                       .burst = quota_.burst},
                      quota_.allowance);
  }

  // True if messages between the two routers are lost.
  bool IsParted(size_t a, size_t b) const {
    return side_.contains(a) != side_.contains(b);
  }
  // True if router `a` does not know `b` for a reason beside its discovery.
  bool IsUnknown(size_t a, size_t b) const {
    const bool is_parted =
        IsParted(a, b) && now_ - apart_since_ >= kQuotaDeathTime;
    const bool is_rejoining =
        now_ < apart_until_ && last_side_.contains(a) != last_side_.contains(b);
    const bool is_grouped =
        now_ < group_until_ && group_.contains(a) && !group_.contains(b);
    const bool is_unseen = !views_.empty() && !views_[a].contains(b);
    return is_parted || is_rejoining || is_grouped || is_unseen;
  }

  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);

  void Start(int router, bool is_first_start) {
    AccountQuotas::Options options{
        .self = names_[static_cast<size_t>(router)],
        .incarnation = Incarnation(
            static_cast<uint64_t>(now_.time_since_epoch().count()) + 1),
        .is_first_start = is_first_start};
    AccountQuotas::Hooks hooks;
    hooks.report = [this, router](const RouterId& to,
                                  const UsageReport& report) {
      Send({.from = router, .to = to, .report = report, .totals = {}});
    };
    hooks.answer = [this, router](const RouterId& to,
                                  const UsageTotals& totals) {
      Send({.from = router, .to = to, .report = {}, .totals = totals});
    };
    std::unique_ptr<AccountQuotas>& quotas =
        routers_[static_cast<size_t>(router)];
    quotas = std::make_unique<AccountQuotas>(options, std::move(hooks), now_);
    quotas->SetLimits({Limit()}, now_);
    if (!is_first_start) {
      discovered_at_[static_cast<size_t>(router)] = now_ + kQuotaDiscoveryTime;
    }
    UpdateRouters();
  }

  // Shows each router the running routers that it has discovered. A router that
  // restarts is discovered after a delay.
  void UpdateRouters() {
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i] == nullptr) {
        continue;
      }
      std::vector<RouterId> running;
      for (size_t j = 0; j < routers_.size(); ++j) {
        const bool has_discovered = now_ >= discovered_at_[i] &&
                                    now_ >= discovered_at_[j] &&
                                    !IsUnknown(i, j);
        if (i == j || (routers_[j] != nullptr && has_discovered)) {
          running.push_back(names_[j]);
        }
      }
      routers_[i]->SetRouters(running, now_);
    }
  }

  void Send(Message message) {
    constexpr uint64_t kMaxDelayMs = 40;
    message.due =
        now_ + std::chrono::milliseconds(5 + random_.Below(kMaxDelayMs));
    const size_t to = static_cast<size_t>(
        std::find(names_.begin(), names_.end(), message.to) - names_.begin());
    const bool has_no_address =
        IsUnknown(static_cast<size_t>(message.from), to);
    const bool is_lost = has_no_address ||
                         (loss > 0.0 && random_.Chance(loss)) ||
                         IsParted(static_cast<size_t>(message.from), to);
    const bool is_cut =
        is_lost || message.from == cut_ ||
        (cut_ >= 0 && message.to == names_[static_cast<size_t>(cut_)]);
    if (!is_cut) {
      messages_.push_back(std::move(message));
    }
  }

  void Deliver(const Message& message) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (names_[i] != message.to || routers_[i] == nullptr) {
        continue;
      }
      const RouterId& from = names_[static_cast<size_t>(message.from)];
      if (message.report.has_value()) {
        routers_[i]->OnReport(from, *message.report, now_);
      } else {
        routers_[i]->OnTotals(from, *message.totals, now_);
      }
    }
  }

  void Step() {
    now_ += kStep;
    while (!restarts_.empty() && restarts_.front().first <= now_) {
      Start(restarts_.front().second, /*is_first_start=*/false);
      restarts_.pop_front();
    }
    std::deque<Message> due;
    for (Message& message : std::exchange(messages_, {})) {
      (message.due <= now_ ? due : messages_).push_back(std::move(message));
    }
    for (const Message& message : due) {
      Deliver(message);
    }
    DecideParked();
    const bool is_side_due =
        !side_.empty() && now_ - apart_since_ == kQuotaDeathTime;
    if (std::find(discovered_at_.begin(), discovered_at_.end(), now_) !=
            discovered_at_.end() ||
        is_side_due || now_ == apart_until_ || now_ == group_until_) {
      UpdateRouters();
    }
    if (now_.time_since_epoch() % std::chrono::milliseconds(25) == Duration()) {
      for (const std::unique_ptr<AccountQuotas>& quotas : routers_) {
        if (quotas != nullptr) {
          quotas->OnTick(now_);
        }
      }
    }
  }

  void Arrive(double cost) {
    // Callers are spread unevenly: the first routers get most of them.
    const size_t count = routers_.size();
    const size_t router = only_router.value_or(
        std::min(random_.Below(count), random_.Below(count)));
    for (int i = 0; i < requests_at_once; ++i) {
      Request(router, cost / requests_at_once);
    }
  }

  void Request(size_t router, double cost) {
    if (routers_[router] == nullptr) {
      return;
    }
    ++requested_;
    if (routers_[router]->AskOwner(AccountId("teachers"), cost, now_)) {
      parked_.push_back({now_ + kAnswerTimeout, router, cost});
      return;
    }
    Decide(router, cost);
  }

  // Decides on the requests for which the owner has answered or is silent.
  void DecideParked() {
    std::deque<Parked> parked = std::exchange(parked_, {});
    for (const Parked& request : parked) {
      const std::unique_ptr<AccountQuotas>& quotas = routers_[request.router];
      if (quotas == nullptr) {
        continue;
      }
      if (now_ < request.decide_at &&
          quotas->MustWait(AccountId("teachers"), request.cost, now_)) {
        parked_.push_back(request);
      } else {
        quotas->EndWait(AccountId("teachers"), request.cost);
        Decide(request.router, request.cost);
      }
    }
  }

  void Decide(size_t router, double cost) {
    if (routers_[router]
            ->Spend(AccountId("teachers"), Tier::kInteractive, cost, now_)
            .has_value()) {
      ++rejected_;
    } else {
      admitted_.emplace_back(now_, cost);
    }
  }

  Random random_;
  QuotaCase quota_;
  std::set<size_t> side_;
  std::set<size_t> last_side_;
  TimePoint apart_since_;
  TimePoint apart_until_;
  std::set<size_t> group_;
  std::vector<std::set<size_t>> views_;
  TimePoint group_until_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<RouterId> names_;
  std::vector<std::unique_ptr<AccountQuotas>> routers_;
  // Times from which each router knows the others and is known to them.
  std::vector<TimePoint> discovered_at_;
  std::deque<std::pair<TimePoint, int>> restarts_;
  std::deque<Message> messages_;
  std::deque<Parked> parked_;
  std::vector<std::pair<TimePoint, double>> admitted_;
  double pending_cost_ = 0.0;
  int cut_ = -1;
  int requested_ = 0;
  int rejected_ = 0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_QUOTA_FLEET_H_
