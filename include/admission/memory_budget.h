#ifndef INCLUDE_ADMISSION_MEMORY_BUDGET_H_
#define INCLUDE_ADMISSION_MEMORY_BUDGET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// What the bytes that peers make a router hold are held for.
enum class MemoryKind : uint8_t {
  kReading,    // requests that are not complete yet
  kRequests,   // complete requests that wait or are served
  kSending,    // heads of requests that upstreams have not taken yet
  kResponses,  // responses that callers have not taken yet
  kUnread,     // receive queues of connections whose reading is paused
  kStore,      // responses of the platform's store
  kPeers,      // messages to other routers that were not sent yet
};

inline constexpr size_t kMemoryKindCount = 7;

// The name used in metrics, as `responses`.
const char* MemoryKindName(MemoryKind kind);

class MemoryCharge;

// One budget for all bytes that peers make a router hold. Handles many large
// bodies at once, slow callers and upstreams, and a flood of requests: it
// decides which bodies may be read, how much of a response may wait for its
// caller, and which new work is rejected.
//
// Guarantees, while holders charge what they hold:
// - The room for a large body is reserved before it is read. A body with its
//   room can always be completed, so incomplete bodies can't block each other.
// - Large bodies leave room for small requests, lower tiers leave room for
//   upper ones, and new work leaves room for responses of requests that run.
// - The budget never asks for work that was admitted to be ended.
//
// Sizes are in bytes. A budget without a limit counts and admits everything.
// Single-threaded, without I/O and without a clock.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  // How short memory is. Decides how much of a response may wait for its
  // caller.
  enum class Level : uint8_t { kNormal, kShort, kTight };

  enum class Change : uint8_t {
    kReadingPaused,
    kReadingResumed,
    kRejecting,
    kRejectingEnded,
  };

  struct Hooks {
    // Room became free while bodies wait for it. Call GrantWaiting soon, but
    // not from inside this hook.
    std::function<void()> room_freed;
    // For logs. `tier` is the tier of the request that caused the change.
    std::function<void(Change change, Tier tier)> changed;
  };

  using WaiterId = uint64_t;
  // The room for a body, charged as kReading.
  using GrantHook = std::function<void(MemoryCharge)>;

  // The limit of the process's memory; zero switches the budget off.
  explicit MemoryBudget(Bytes process_limit);

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }

  // The bytes that may be charged under a limit of the process's memory; zero
  // without a limit.
  static Bytes CapacityOf(Bytes process_limit);

  bool is_limited() const { return capacity_ > 0; }
  Bytes capacity() const { return Bytes(capacity_); }
  Bytes used() const { return Bytes(total_); }
  Bytes used(MemoryKind kind) const {
    return Bytes(used_[static_cast<size_t>(kind)]);
  }
  // The highest value of used() so far.
  Bytes peak() const { return Bytes(peak_); }

  // Changes what is held. MemoryCharge does this.
  void Add(MemoryKind kind, int64_t bytes);
  // Counts bytes that are held already as another kind.
  void Move(MemoryKind from, MemoryKind to, int64_t bytes);

  Level level() const;

  // True if new work of `tier` may be admitted.
  bool Admits(Tier tier) const;
  // True if a head whose tier is not known yet may be read on, and if an
  // admitted request may begin to run.
  bool AdmitsHeads() const;
  // True if `bytes` more may be held of messages from and to other routers. The
  // protocol recovers from lost messages, so they get a fixed part.
  bool AdmitsPeers(int64_t bytes) const;
  // Records that new work was rejected for want of memory.
  void CountRejected(Tier tier);

  // True if a body of `bytes` could be read if nothing else were held.
  bool CanEverGrant(Tier tier, int64_t bytes) const;

  // Returns the room for a body if it is free and no body of the same or an
  // upper tier waits for room.
  std::optional<MemoryCharge> TryReserve(Tier tier, int64_t bytes);

  // Waits for room. Upper tiers go first, then the order of the calls.
  // `granted` is called from GrantWaiting unless Cancel is called before.
  WaiterId Await(Tier tier, int64_t bytes, GrantHook granted);
  void Cancel(WaiterId id);

  // Grants room to waiting bodies, as far as it is free.
  void GrantWaiting();

  size_t waiting() const { return waiting_.size(); }
  uint64_t rejected() const { return rejected_; }
  uint64_t paused() const { return paused_; }

  // A response is paused for its caller because memory is short.
  void CountPaused(Tier tier);

  // Reports the end of pauses and of rejections. Call every 100 ms or so.
  void OnTick(TimePoint now);

 private:
  struct Waiter {
    WaiterId id = 0;
    int64_t bytes = 0;
    GrantHook granted;
  };

  // A condition that operators are told of when it begins and ends.
  struct Condition {
    bool is_active = false;
    // The condition was met since the last tick.
    bool was_met = false;
    TimePoint last_met;
  };

  bool HasRoom(Tier tier, int64_t bytes) const;
  void Meet(Condition* condition, Change change, Tier tier);
  void EndIfOver(Condition* condition, Change change, TimePoint now);

  const int64_t capacity_;
  Hooks hooks_;
  std::array<int64_t, kMemoryKindCount> used_{};
  int64_t total_ = 0;
  int64_t peak_ = 0;
  // By tier, then in the order of the calls.
  std::map<std::pair<Tier, WaiterId>, Waiter> waiting_;
  WaiterId last_waiter_ = 0;
  // room_freed was called, but not GrantWaiting since.
  bool is_wake_pending_ = false;
  uint64_t rejected_ = 0;
  uint64_t paused_ = 0;
  Condition pausing_;
  Condition rejecting_;
};

// Bytes charged to a budget; releases them when it is destroyed. One without a
// budget counts nothing.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<MemoryBudget> budget,
               MemoryKind kind,
               int64_t bytes = 0);
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  ~MemoryCharge();

  // Sets the number of bytes charged.
  void Set(int64_t bytes);
  // Charges the same bytes as another kind.
  void SetKind(MemoryKind kind);
  int64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryKind kind_ = MemoryKind::kReading;
  int64_t bytes_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_MEMORY_BUDGET_H_
