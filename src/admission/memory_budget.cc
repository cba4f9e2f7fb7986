#include "include/admission/memory_budget.h"

#include <algorithm>

namespace papaya {

namespace {

// An idle process uses 10 to 15 MB; the rest is for routing snapshots, metrics
// and the queues of the log, which do not grow with what callers send.
constexpr int64_t kProcessBytes = int64_t{20} * 1024 * 1024;
// The part of the remaining memory that may be charged. The rest covers the
// allocator's overhead and free blocks, growing strings that hold more than
// they contain, and bytes in receive queues while the event loop is busy.
constexpr double kChargeableFraction = 0.7;

// Fractions of the capacity, by tier from the highest.
//
// Up to this use, large bodies get room. The steps are at least one body of the
// usual limit of 4 MB at a process limit of 88 MB, so that bodies of a lower
// tier leave room for one of each upper tier.
constexpr std::array<double, kTierCount> kLargeBodyFractions = {0.58, 0.55,
                                                                0.46, 0.37};
// Up to this use, new work is admitted. The lowest is well above the room for
// large bodies, so that small requests go on while large bodies wait.
constexpr std::array<double, kTierCount> kAdmissionFractions = {0.92, 0.86,
                                                                0.78, 0.70};
// Above this use, incomplete heads are rejected, and admitted requests do not
// begin to run. The tier of a head is not known, so it counts as most urgent.
constexpr double kHeadFraction = 0.95;
// Above these uses, less of each response may wait for its caller. The first is
// above the room for large bodies, which alone must not slow responses down.
constexpr double kShortFraction = 0.65;
constexpr double kTightFraction = 0.85;

// The most that messages between routers may use.
constexpr double kPeersFraction = 0.12;

// A condition ends when it was not met for this long, so that one that comes
// and goes is logged once.
constexpr Duration kQuietTime = std::chrono::seconds(1);

}  // namespace

const char* MemoryKindName(MemoryKind kind) {
  constexpr std::array<const char*, kMemoryKindCount> kNames = {
      "reading", "requests", "sending", "responses",
      "unread",  "store",    "peers"};
  return kNames[static_cast<size_t>(kind)];
}

MemoryBudget::MemoryBudget(Bytes process_limit)
    : capacity_(CapacityOf(process_limit).value()) {}

Bytes MemoryBudget::CapacityOf(Bytes process_limit) {
  if (process_limit.value() <= 0) {
    return Bytes(0);
  }
  const double left = static_cast<double>(
      std::max<int64_t>(process_limit.value() - kProcessBytes, 1));
  return Bytes(
      std::max<int64_t>(1, static_cast<int64_t>(left * kChargeableFraction)));
}

void MemoryBudget::Add(MemoryKind kind, int64_t bytes) {
  used_[static_cast<size_t>(kind)] += bytes;
  total_ += bytes;
  peak_ = std::max(peak_, total_);
  if (bytes < 0 && !waiting_.empty() && !is_wake_pending_ &&
      hooks_.room_freed) {
    is_wake_pending_ = true;
    hooks_.room_freed();
  }
}

void MemoryBudget::Move(MemoryKind from, MemoryKind to, int64_t bytes) {
  used_[static_cast<size_t>(from)] -= bytes;
  used_[static_cast<size_t>(to)] += bytes;
}

MemoryBudget::Level MemoryBudget::level() const {
  const double used = static_cast<double>(total_);
  const double capacity = static_cast<double>(capacity_);
  if (!is_limited() || used < kShortFraction * capacity) {
    return Level::kNormal;
  }
  return used < kTightFraction * capacity ? Level::kShort : Level::kTight;
}

bool MemoryBudget::Admits(Tier tier) const {
  return !is_limited() ||
         static_cast<double>(total_) < kAdmissionFractions[TierIndex(tier)] *
                                           static_cast<double>(capacity_);
}

bool MemoryBudget::AdmitsHeads() const {
  return !is_limited() || static_cast<double>(total_) <
                              kHeadFraction * static_cast<double>(capacity_);
}

bool MemoryBudget::AdmitsPeers(int64_t bytes) const {
  return !is_limited() ||
         static_cast<double>(used(MemoryKind::kPeers).value() + bytes) <=
             kPeersFraction * static_cast<double>(capacity_);
}

void MemoryBudget::CountRejected(Tier tier) {
  ++rejected_;
  Meet(&rejecting_, Change::kRejecting, tier);
}

void MemoryBudget::CountPaused(Tier tier) {
  ++paused_;
  Meet(&pausing_, Change::kReadingPaused, tier);
}

bool MemoryBudget::CanEverGrant(Tier tier, int64_t bytes) const {
  return !is_limited() ||
         static_cast<double>(bytes) <= kLargeBodyFractions[TierIndex(tier)] *
                                           static_cast<double>(capacity_);
}

bool MemoryBudget::HasRoom(Tier tier, int64_t bytes) const {
  return CanEverGrant(tier, total_ + bytes);
}

std::optional<MemoryCharge> MemoryBudget::TryReserve(Tier tier, int64_t bytes) {
  const bool is_first =
      waiting_.empty() || waiting_.begin()->first.first > tier;
  if (!is_first || !HasRoom(tier, bytes)) {
    return std::nullopt;
  }
  return MemoryCharge(shared_from_this(), MemoryKind::kReading, bytes);
}

MemoryBudget::WaiterId MemoryBudget::Await(Tier tier,
                                           int64_t bytes,
                                           GrantHook granted) {
  const WaiterId id = ++last_waiter_;
  waiting_[{tier, id}] = {
      .id = id, .bytes = bytes, .granted = std::move(granted)};
  CountPaused(tier);
  return id;
}

void MemoryBudget::Cancel(WaiterId id) {
  std::erase_if(waiting_,
                [id](const auto& entry) { return entry.second.id == id; });
  // The next one may fit where this one did not.
  if (!waiting_.empty() && !is_wake_pending_ && hooks_.room_freed) {
    is_wake_pending_ = true;
    hooks_.room_freed();
  }
}

void MemoryBudget::GrantWaiting() {
  is_wake_pending_ = false;
  while (!waiting_.empty()) {
    const auto first = waiting_.begin();
    if (!HasRoom(first->first.first, first->second.bytes)) {
      return;
    }
    const Waiter waiter = std::move(first->second);
    waiting_.erase(first);
    waiter.granted(
        MemoryCharge(shared_from_this(), MemoryKind::kReading, waiter.bytes));
  }
}

void MemoryBudget::Meet(Condition* condition, Change change, Tier tier) {
  condition->was_met = true;
  if (!condition->is_active) {
    condition->is_active = true;
    if (hooks_.changed) {
      hooks_.changed(change, tier);
    }
  }
}

void MemoryBudget::EndIfOver(Condition* condition,
                             Change change,
                             TimePoint now) {
  if (std::exchange(condition->was_met, false)) {
    condition->last_met = now;
  }
  if (condition->is_active && now - condition->last_met >= kQuietTime) {
    condition->is_active = false;
    if (hooks_.changed) {
      hooks_.changed(change, Tier::kCritical);
    }
  }
}

void MemoryBudget::OnTick(TimePoint now) {
  pausing_.was_met = pausing_.was_met || !waiting_.empty();
  EndIfOver(&pausing_, Change::kReadingResumed, now);
  EndIfOver(&rejecting_, Change::kRejectingEnded, now);
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget,
                           MemoryKind kind,
                           int64_t bytes)
    : budget_(std::move(budget)), kind_(kind) {
  Set(bytes);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_)),
      kind_(other.kind_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this != &other) {
    Set(0);
    budget_ = std::move(other.budget_);
    kind_ = other.kind_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

MemoryCharge::~MemoryCharge() {
  Set(0);
}

void MemoryCharge::Set(int64_t bytes) {
  if (budget_ != nullptr && bytes != bytes_) {
    const int64_t change = bytes - std::exchange(bytes_, bytes);
    budget_->Add(kind_, change);
  }
}

void MemoryCharge::SetKind(MemoryKind kind) {
  if (budget_ != nullptr && kind != kind_) {
    budget_->Move(std::exchange(kind_, kind), kind, bytes_);
  }
}

}  // namespace papaya
