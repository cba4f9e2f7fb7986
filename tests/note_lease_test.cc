#include "include/rollout/note_lease.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr char kLeaseKey[] = "fleet/lease";

// One process: a lease that is ticked by the process's own clock.
struct Process {
  Process(FakeObjectStoreBackend* backend,
          const std::string& owner,
          uint64_t seed,
          double clock)
      : store(backend), random(seed), rate(clock) {
    lease = std::make_unique<NoteLease>(&store, "fleet", owner,
                                        NoteLeaseOptions(), &random);
  }

  // Time of the process's clock, which runs at another rate than that of the
  // store.
  TimePoint Clock(TimePoint now) const {
    return TimePoint(std::chrono::hours(1)) +
           SecondsToDuration(ToSeconds(now.time_since_epoch()) * rate);
  }

  std::optional<FencingNumber> Held(TimePoint now) const {
    return lease->HeldEpoch(Clock(now));
  }

  FakeObjectStore store;
  Random random;
  double rate = 1.0;
  bool is_paused = false;
  std::unique_ptr<NoteLease> lease;
};

// Processes that all try to take the lease.
struct Candidates {
  Candidates(uint64_t seed, size_t count) : backend(seed) {
    backend.now = TimePoint(std::chrono::hours(1));
    Random random(seed + 1);
    for (size_t i = 0; i < count; ++i) {
      // Clock rates differ by up to 3%, which the margin of the lease allows
      // for.
      const double rate = 0.985 + 0.03 * random.Uniform();
      processes.push_back(std::make_unique<Process>(
          &backend, absl::StrCat("router-", i), seed + 2 + i, rate));
    }
  }

  void Tick() {
    for (const std::unique_ptr<Process>& process : processes) {
      if (!process->is_paused) {
        process->lease->OnTick(process->Clock(backend.now), true);
      }
    }
    backend.RunUntil(backend.now + kTick);
  }

  void RunFor(Duration length) {
    const TimePoint end = backend.now + length;
    while (backend.now < end) {
      Tick();
    }
  }

  // The processes that certainly hold the lease now. Paused ones count, as they
  // may resume at any time and read their clock.
  std::vector<Process*> Holders() const {
    std::vector<Process*> holders;
    for (const std::unique_ptr<Process>& process : processes) {
      if (process->Held(backend.now)) {
        holders.push_back(process.get());
      }
    }
    return holders;
  }

  FakeObjectStoreBackend backend;
  std::vector<std::unique_ptr<Process>> processes;
};

TEST_CASE("NoteLease: a paused holder does not hold the lease after it resumes",
          "[rollout]") {
  Candidates fleet(1, 1);
  fleet.RunFor(std::chrono::seconds(10));
  Process* const first = fleet.processes[0].get();
  REQUIRE(first->Held(fleet.backend.now) == FencingNumber(1));
  fleet.processes.push_back(
      std::make_unique<Process>(&fleet.backend, "second", 9, 1.0));
  Process* const second = fleet.processes[1].get();
  fleet.RunFor(std::chrono::seconds(30));
  CHECK_FALSE(second->Held(fleet.backend.now));

  first->is_paused = true;
  fleet.RunFor(std::chrono::seconds(10));
  CHECK_FALSE(second->Held(fleet.backend.now));
  fleet.RunFor(std::chrono::seconds(30));
  CHECK(second->Held(fleet.backend.now) == FencingNumber(2));
  // The lease has expired by the clock alone, before the first tick.
  CHECK_FALSE(first->Held(fleet.backend.now));
  const ObjectVersion written = fleet.backend.objects[kLeaseKey].version;
  first->is_paused = false;
  first->lease->OnTick(first->Clock(fleet.backend.now), true);
  CHECK_FALSE(first->Held(fleet.backend.now));
  CHECK(fleet.backend.objects[kLeaseKey].version == written);
  fleet.RunFor(std::chrono::seconds(60));
  CHECK_FALSE(first->Held(fleet.backend.now));
  CHECK(second->Held(fleet.backend.now) == FencingNumber(2));
}

TEST_CASE("NoteLease: a write whose answer is lost is read back", "[rollout]") {
  Candidates fleet(2, 1);
  fleet.backend.faults.lost_answer = 1.0;
  fleet.RunFor(std::chrono::seconds(10));
  Process* const holder = fleet.processes[0].get();
  CHECK(holder->Held(fleet.backend.now) == FencingNumber(1));
  fleet.RunFor(std::chrono::minutes(2));
  CHECK(holder->Held(fleet.backend.now) == FencingNumber(1));
  CHECK(fleet.backend.objects.size() == 1);
}

TEST_CASE("NoteLease: in a store outage the lease of the holder expires",
          "[rollout]") {
  Candidates fleet(3, 2);
  fleet.RunFor(std::chrono::seconds(20));
  REQUIRE(fleet.Holders().size() == 1);
  fleet.backend.faults.is_out = true;
  fleet.RunFor(std::chrono::seconds(17));
  CHECK(fleet.Holders().empty());
  fleet.RunFor(std::chrono::hours(1));
  CHECK(fleet.Holders().empty());
  fleet.backend.faults.is_out = false;
  fleet.RunFor(std::chrono::seconds(30));
  CHECK(fleet.Holders().size() == 1);
}

void ChangeFaults(Candidates* fleet, Random* fault_random) {
  FakeObjectStoreBackend::Faults& faults = fleet->backend.faults;
  Process* const process =
      fleet->processes[fault_random->Below(fleet->processes.size())].get();
  switch (fault_random->Below(5)) {
    case 0:
      process->is_paused = !process->is_paused;
      break;
    case 1:
      faults.is_out = !faults.is_out;
      break;
    case 2:
      faults.lost_answer = fault_random->Uniform();
      break;
    case 3:
      faults.lost_call = 0.5 * fault_random->Uniform();
      break;
    case 4:
      faults.max_delay = SecondsToDuration(3.0 * fault_random->Uniform());
      faults.slow = 0.2 * fault_random->Uniform();
      break;
  }
}

TEST_CASE(
    "NoteLease: never two holders, and no two holders have the same epoch",
    "[rollout]") {
  rc::prop("with pauses, outages, late and lost answers", [](uint64_t seed) {
    Candidates fleet(seed, 4);
    Random fault_random(seed + 99);
    std::map<FencingNumber, Process*> owners;
    FencingNumber highest;
    const TimePoint faults_end = fleet.backend.now + std::chrono::minutes(20);
    while (fleet.backend.now < faults_end) {
      if (fault_random.Chance(0.01)) {
        ChangeFaults(&fleet, &fault_random);
      }
      fleet.Tick();
      const std::vector<Process*> holders = fleet.Holders();
      RC_ASSERT(holders.size() <= 1);
      for (Process* const holder : holders) {
        const FencingNumber epoch = *holder->Held(fleet.backend.now);
        RC_ASSERT(epoch >= highest);
        RC_ASSERT(owners.try_emplace(epoch, holder).first->second == holder);
        highest = epoch;
      }
    }
    fleet.backend.faults = {};
    for (const std::unique_ptr<Process>& process : fleet.processes) {
      process->is_paused = false;
    }
    fleet.RunFor(std::chrono::minutes(2));
    RC_ASSERT(fleet.Holders().size() == 1);
  });
}

}  // namespace
}  // namespace papaya
