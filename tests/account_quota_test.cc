#include "include/admission/account_quota.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/random.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(8);
constexpr Duration kStep = milliseconds(5);
constexpr Duration kDiscoveryTime = milliseconds(400);
// Overage that the platform allows beyond a quota.
constexpr double kOverage = 0.1;
constexpr double kRate = 160000.0;
constexpr double kSlack = 140000.0;

// Simulates routers that enforce the quota of one account together, with
// delayed messages, in virtual time.
class QuotaFleet {
 public:
  QuotaFleet(int routers, uint64_t seed) : random_(seed) {
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

  // Sends requests with a total of `rate` tokens a second for `time`.
  void Load(double rate, double cost, Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Step();
      pending_cost_ += rate * ToSeconds(kStep);
      while (pending_cost_ >= cost) {
        pending_cost_ -= cost;
        Request(cost);
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
      while (time - admitted_[first].first >= kWindow) {
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

  static constexpr Duration kAnswerTimeout = milliseconds(250);

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
    quotas->SetLimits(
        {MakeBucket(
            {.account = AccountId("teachers"), .rate = kRate, .burst = kRate},
            {.window = kWindow, .overage = kOverage, .slack = kSlack})},
        now_);
    if (!is_first_start) {
      discovered_at_[static_cast<size_t>(router)] = now_ + kDiscoveryTime;
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
        const bool has_discovered =
            now_ >= discovered_at_[i] && now_ >= discovered_at_[j];
        if (i == j || (routers_[j] != nullptr && has_discovered)) {
          running.push_back(names_[j]);
        }
      }
      routers_[i]->SetRouters(running, now_);
    }
  }

  void Send(Message message) {
    constexpr uint64_t kMaxDelayMs = 40;
    message.due = now_ + milliseconds(5 + random_.Below(kMaxDelayMs));
    const bool is_cut =
        message.from == cut_ ||
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
    if (std::find(discovered_at_.begin(), discovered_at_.end(), now_) !=
        discovered_at_.end()) {
      UpdateRouters();
    }
    if (now_.time_since_epoch() % milliseconds(25) == Duration()) {
      for (const std::unique_ptr<AccountQuotas>& quotas : routers_) {
        if (quotas != nullptr) {
          quotas->OnTick(now_);
        }
      }
    }
  }

  void Request(double cost) {
    // Callers are spread unevenly: the first routers get most of them.
    const size_t count = routers_.size();
    const size_t router = std::min(random_.Below(count), random_.Below(count));
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
          quotas->AskOwner(AccountId("teachers"), request.cost, now_)) {
        parked_.push_back(request);
      } else {
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
  TimePoint now_{seconds(1000)};
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

constexpr double kAllowed = (kRate * 8.0 + kRate) * (1.0 + kOverage) + kSlack;

TEST_CASE("AccountQuotas: an account within its quota is never rejected",
          "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.9 * kRate, 5000.0, seconds(30));
    CHECK(fleet.requested() > 0);
    CHECK(fleet.rejected() == 0);
  }
}

TEST_CASE(
    "AccountQuotas: a hot account is limited to its quota over all routers",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.5 * kRate, 5000.0, seconds(10));
    fleet.Load(5.0 * kRate, 5000.0, seconds(20));
    CHECK(fleet.Peak() <= kAllowed);
    CHECK(fleet.Peak() >= 0.95 * kRate * 9.0);
  }
}

// Each of hundreds of routers sees a request of an account every few seconds,
// and its even share is far below the cost of one.
TEST_CASE("AccountQuotas: a large fleet rejects little within the quota",
          "[admission]") {
  for (const int routers : {24, 60, 300}) {
    QuotaFleet fleet(routers, 1);
    fleet.Load(0.55 * kRate, 7000.0, seconds(30));
    CAPTURE(routers, fleet.rejected(), fleet.requested());
    CHECK(fleet.requested() > 0);
    CHECK(fleet.rejected() <= fleet.requested() / 100);
  }
}

TEST_CASE("AccountQuotas: a large fleet limits a hot account", "[admission]") {
  for (const int routers : {24, 60, 300}) {
    QuotaFleet fleet(routers, 2);
    fleet.Load(0.5 * kRate, 7000.0, seconds(10));
    fleet.Load(7.5 * kRate, 7000.0, seconds(20));
    CAPTURE(routers);
    CHECK(fleet.Peak() <= kAllowed);
    CHECK(fleet.Peak() >= 0.9 * kRate * 8.0);
  }
}

TEST_CASE("AccountQuotas: a large fleet keeps the quota while routers die",
          "[admission]") {
  const bool is_noticed = GENERATE(true, false);
  QuotaFleet fleet(60, 4);
  fleet.Load(5.0 * kRate, 7000.0, seconds(10));
  for (int i = 0; i < 30; ++i) {
    if (is_noticed) {
      fleet.Kill(2 * i, milliseconds(800));
    } else {
      fleet.KillUnnoticed(2 * i, milliseconds(800));
    }
    fleet.Load(5.0 * kRate, 7000.0, milliseconds(300));
  }
  CHECK(fleet.Peak() <= kAllowed);
}

TEST_CASE("AccountQuotas: spending before a kill of all routers counts",
          "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    for (int router = 0; router < 7; ++router) {
      fleet.Kill(router, milliseconds(1000));
    }
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE("AccountQuotas: spending before a kill of one router counts",
          "[admission]") {
  for (int killed = 0; killed < 7; ++killed) {
    QuotaFleet fleet(7, 3);
    fleet.Load(4.0 * kRate, 5000.0, seconds(10));
    fleet.Kill(killed, milliseconds(800));
    fleet.Load(4.0 * kRate, 5000.0, seconds(10));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE(
    "AccountQuotas: kills of one router after another do not exceed the quota",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const milliseconds pause : {milliseconds(300), milliseconds(700)}) {
      QuotaFleet fleet(7, seed);
      fleet.Load(4.0 * kRate, 5000.0, seconds(10));
      for (int i = 0; i < 14; ++i) {
        fleet.Kill(i % 7, milliseconds(400));
        fleet.Load(4.0 * kRate, 5000.0, pause);
      }
      CHECK(fleet.Peak() <= kAllowed);
    }
  }
}

TEST_CASE(
    "AccountQuotas: a dead router does not let a hot account exceed its quota",
    "[admission]") {
  for (int killed = 0; killed < 7; ++killed) {
    QuotaFleet fleet(7, 5);
    fleet.Load(0.5 * kRate, 5000.0, seconds(10));
    fleet.KillUnnoticed(killed, milliseconds(2000));
    fleet.Load(7.0 * kRate, 5000.0, seconds(10));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE(
    "AccountQuotas: after a restart of all routers few requests are rejected",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.55 * kRate, 5000.0, seconds(10));
    for (int router = 0; router < 7; ++router) {
      fleet.Kill(router, milliseconds(500));
    }
    fleet.Load(0.55 * kRate, 5000.0, seconds(12));
    // Right after the start the time may be too short to tell this account from
    // one that exceeds its quota.
    CHECK(fleet.rejected() <= fleet.requested() / 50);
  }
}

TEST_CASE("AccountQuotas: a partitioned router limits itself to its share",
          "[admission]") {
  for (int cut = 0; cut < 7; ++cut) {
    QuotaFleet fleet(7, 11);
    fleet.Load(2.0 * kRate, 5000.0, seconds(10));
    fleet.Cut(cut);
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    fleet.Heal();
    fleet.Load(4.0 * kRate, 5000.0, seconds(6));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

}  // namespace
}  // namespace papaya
