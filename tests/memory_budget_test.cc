#include "include/admission/memory_budget.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <vector>

#include "include/wire/steady_time.h"

namespace papaya {
namespace {

constexpr int64_t kMb = int64_t{1024} * 1024;
constexpr int64_t kLargeBody = 4'000'000;

std::shared_ptr<MemoryBudget> MakeBudget(int64_t megabytes) {
  return std::make_shared<MemoryBudget>(Bytes(megabytes * kMb));
}

TEST_CASE("MemoryBudget: without a limit everything is admitted", "[memory]") {
  const std::shared_ptr<MemoryBudget> budget = MakeBudget(0);
  const MemoryCharge held(budget, MemoryKind::kResponses, 1000 * kMb);
  CHECK_FALSE(budget->is_limited());
  CHECK(budget->Admits(Tier::kBatch));
  CHECK(budget->AdmitsHeads());
  CHECK(budget->AdmitsPeers(kMb));
  CHECK(budget->level() == MemoryBudget::Level::kNormal);
  CHECK(budget->TryReserve(Tier::kBatch, 1000 * kMb).has_value());
  CHECK(budget->used(MemoryKind::kResponses) == Bytes(1000 * kMb));
}

// Guards against limits so low that the largest body of the usual manifest can
// never be read, or that large bodies take the room of small requests.
TEST_CASE("MemoryBudget: large bodies leave room at each limit", "[memory]") {
  const int64_t limit = GENERATE(88, 110, 512);
  const std::shared_ptr<MemoryBudget> budget = MakeBudget(limit);
  CHECK(budget->capacity() < Bytes((limit - 15) * kMb));
  std::vector<MemoryCharge> held;
  for (const Tier tier :
       {Tier::kBatch, Tier::kStandard, Tier::kInteractive, Tier::kCritical}) {
    INFO(TierName(tier));
    size_t granted = 0;
    while (auto charge = budget->TryReserve(tier, kLargeBody)) {
      held.push_back(std::move(*charge));
      ++granted;
    }
    // Upper tiers still get room after the lower ones have taken theirs.
    if (tier != Tier::kCritical && tier != Tier::kInteractive) {
      CHECK(granted >= 1);
    }
  }
  CHECK(held.size() >= 5);
  CHECK(budget->level() == MemoryBudget::Level::kNormal);
  CHECK(budget->Admits(Tier::kBatch));
  held.clear();
  CHECK(budget->used() == Bytes(0));
}

TEST_CASE("MemoryBudget: rejects the lowest tier first", "[memory]") {
  const std::shared_ptr<MemoryBudget> budget = MakeBudget(110);
  MemoryCharge held(budget, MemoryKind::kRequests);
  std::vector<size_t> admitted;
  for (int64_t percent = 0; percent <= 100; ++percent) {
    held.Set(budget->capacity().value() * percent / 100);
    size_t tiers = 0;
    for (const Tier tier : kAllTiers) {
      // A tier is admitted only if all upper ones are.
      CHECK(budget->Admits(tier) <= (TierIndex(tier) == tiers));
      tiers += budget->Admits(tier) ? 1 : 0;
    }
    CHECK((admitted.empty() || admitted.back() >= tiers));
    admitted.push_back(tiers);
  }
  CHECK(admitted.front() == kTierCount);
  CHECK(admitted.back() == 0);
  CHECK(budget->level() == MemoryBudget::Level::kTight);
}

TEST_CASE("MemoryBudget: room goes to upper tiers first, then by age",
          "[memory]") {
  const std::shared_ptr<MemoryBudget> budget = MakeBudget(110);
  int wakes = 0;
  budget->SetHooks({.room_freed = [&wakes] { ++wakes; }, .changed = {}});
  MemoryCharge held(budget, MemoryKind::kRequests, budget->capacity().value());
  std::vector<int> order;
  std::vector<MemoryCharge> granted;
  const auto await = [&](int name, Tier tier) {
    return budget->Await(tier, kLargeBody, [&, name](MemoryCharge charge) {
      order.push_back(name);
      granted.push_back(std::move(charge));
    });
  };
  await(1, Tier::kBatch);
  await(2, Tier::kStandard);
  const MemoryBudget::WaiterId left = await(3, Tier::kStandard);
  await(4, Tier::kStandard);
  await(5, Tier::kInteractive);
  budget->Cancel(left);
  // Nobody passes one that waits in the same or an upper tier.
  CHECK_FALSE(budget->TryReserve(Tier::kStandard, 1).has_value());
  wakes = 0;
  budget->GrantWaiting();
  CHECK(order.empty());
  held.Set(0);
  CHECK(wakes == 1);
  budget->GrantWaiting();
  CHECK(order == std::vector<int>{5, 2, 4, 1});
  CHECK(budget->used(MemoryKind::kReading) == Bytes(4 * kLargeBody));
}

TEST_CASE("MemoryBudget: reports each condition once", "[memory]") {
  const std::shared_ptr<MemoryBudget> budget = MakeBudget(110);
  std::vector<MemoryBudget::Change> changes;
  budget->SetHooks({.room_freed = [] {},
                    .changed = [&](MemoryBudget::Change change,
                                   Tier) { changes.push_back(change); }});
  TimePoint now;
  for (int i = 0; i < 50; ++i) {
    budget->CountRejected(Tier::kBatch);
    budget->CountPaused(Tier::kBatch);
    budget->OnTick(now += std::chrono::milliseconds(100));
  }
  using Change = MemoryBudget::Change;
  CHECK(changes ==
        std::vector<Change>{Change::kRejecting, Change::kReadingPaused});
  for (int i = 0; i < 11; ++i) {
    budget->OnTick(now += std::chrono::milliseconds(100));
  }
  CHECK(changes ==
        std::vector<Change>{Change::kRejecting, Change::kReadingPaused,
                            Change::kReadingResumed, Change::kRejectingEnded});
  CHECK(budget->rejected() == 50);
}

// Guards against incomplete bodies that block each other, and against use above
// the capacity: any mix of bodies and tiers is granted in the end while the
// holders of room complete one by one.
TEST_CASE("MemoryBudget: bodies never block each other", "[memory]") {
  rc::prop("all bodies are granted", [] {
    const std::shared_ptr<MemoryBudget> budget =
        MakeBudget(*rc::gen::element<int64_t>(88, 110, 512));
    std::deque<MemoryCharge> held;
    size_t granted = 0;
    const auto bodies = *rc::gen::container<std::vector<std::pair<int, int>>>(
        100, rc::gen::pair(rc::gen::inRange(0, 4),
                           rc::gen::inRange(65537, 4194305)));
    for (const auto& [tier, bytes] : bodies) {
      const Tier of = kAllTiers[static_cast<size_t>(tier)];
      RC_ASSERT(budget->CanEverGrant(of, bytes));
      if (auto charge = budget->TryReserve(of, bytes)) {
        held.push_back(std::move(*charge));
        ++granted;
      } else {
        budget->Await(of, bytes, [&](MemoryCharge later) {
          held.push_back(std::move(later));
          ++granted;
        });
      }
      RC_ASSERT(budget->used() <= budget->capacity());
      RC_ASSERT(budget->Admits(Tier::kBatch));
    }
    while (!held.empty()) {
      held.pop_front();
      budget->GrantWaiting();
      RC_ASSERT(budget->used() <= budget->capacity());
    }
    RC_ASSERT(granted == bodies.size());
    RC_ASSERT(budget->waiting() == 0u);
    RC_ASSERT(budget->used() == Bytes(0));
  });
}

}  // namespace
}  // namespace papaya
