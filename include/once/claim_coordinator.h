#ifndef INCLUDE_ONCE_CLAIM_COORDINATOR_H_
#define INCLUDE_ONCE_CLAIM_COORDINATOR_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/object_store.h"
#include "include/once/claim_messages.h"
#include "include/once/once_decision.h"
#include "include/once/once_table.h"
#include "include/once/own_incarnations.h"

namespace papaya {

// One attempt of a caller that brings its own idempotency key.
struct ClaimAttempt {
  RequestId id;
  // Name of the claim, as ClaimName gives it.
  std::string claim;
  // No answer is of use after that.
  TimePoint deadline;
  // The caller says that this is its first attempt with the key, and that it
  // sends no other before it has the answer or has closed the connection. Only
  // then can a request whose key could not be claimed be called `not-run`.
  bool is_first = false;
};

// Decides on requests with callers' own keys: claims the key in the Object API
// by a write that needs it absent, before anything is dispatched. Of all
// attempts with one key, through any routers, one at most proceeds. A key whose
// outcome was told is closed.
//
// A write whose answer was lost is read back: claims carry an operation id
// that names the claiming incarnation. A claim of another incarnation is never
// taken over; its router is asked, and if it is gone the outcome is unknown.
class ClaimCoordinator {
 public:
  struct Options {
    RouterId router;
    Incarnation incarnation;
    // Claims are kept under `<key_prefix>claims/`.
    std::string key_prefix;
    // How long a claim and its outcome are remembered.
    Duration retention = std::chrono::hours(1);
    // How long the claimer of a key has for its answer.
    Duration query_timeout = std::chrono::milliseconds(500);
    Duration min_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::seconds(2);
    size_t max_claims = 20000;
    size_t max_answer_bytes = size_t{16} << 20;
  };

  struct Hooks {
    // Decides the attempt: kProceed or kRespond. Called once per attempt.
    std::function<void(RequestId, const OnceDecision&)> on_decision;
    // Sends a query to the claimer.
    std::function<void(const RouterId&, const ClaimQuery&)> send_query;
    // True if that incarnation of a router is believed to be alive.
    std::function<bool(const RouterId&, Incarnation)> is_alive;
    // The time now, for callbacks of the store.
    std::function<TimePoint()> now;
    std::function<WallTime()> wall_now;
  };

  // `store` must outlive the keeper; its callbacks may come later still.
  ClaimCoordinator(Options options,
                   Hooks hooks,
                   ObjectStore* store,
                   Random random);

  // Takes an attempt; `decide` follows by its deadline and a tick at the
  // latest. After kProceed, End must follow.
  void Start(const ClaimAttempt& attempt, TimePoint now);

  // Notes how the request that proceeded ended. An outcome `not-run` is
  // written to the claim too, as far as the store allows.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  // What this router knows of a key that it claimed.
  ClaimReply OnQuery(const ClaimQuery& query);

  void OnReply(const ClaimReply& reply, TimePoint now);

  // This process goes on under a later incarnation; claims that it made before
  // are still its own.
  void SetIncarnation(Incarnation incarnation, TimePoint now) {
    own_incarnations_.Change(incarnation, now);
  }

  // Ends attempts past their deadlines, repeats calls whose backoff is over,
  // and removes claims past their retention. Call every 20 ms or so.
  void OnTick(TimePoint now);

  // Attempts that wait for the store or a claimer.
  size_t pending() const { return pending_.size(); }

 private:
  enum class Step : uint8_t { kClaiming, kReadingBack, kQuerying, kBackoff };

  struct PendingAttempt {
    ClaimAttempt attempt;
    Step step = Step::kClaiming;
    // With kBackoff: the call to make when it is over.
    Step next_step = Step::kClaiming;
    TimePoint step_deadline;
    Duration backoff{};
    // The key is known to be claimed by somebody else.
    bool is_foreign = false;
  };

  // A claim that this incarnation wrote, or may have written.
  struct OwnClaim {
    OperationId operation;
    // In the store; 0 while unknown.
    ObjectVersion version;
  };

  struct Removal {
    TimePoint due;
    std::string claim;
  };

  std::string StoreKey(const std::string& claim) const;
  bool ReserveEntry(const std::string& claim, TimePoint now);

  void WriteClaim(PendingAttempt& pending);
  void ReadBack(PendingAttempt& pending);
  void OnClaimed(RequestId id,
                 const std::string& claim,
                 const absl::StatusOr<ObjectVersion>& result);
  void OnReadBack(RequestId id, const absl::StatusOr<StoredObject>& result);
  void OnForeignClaim(PendingAttempt& pending, const StoredObject& object);
  void BackOff(PendingAttempt& pending, Step next_step);
  void OnStepTimeout(PendingAttempt& pending);

  // Each ends the attempt; `waiting` is gone after it.
  void Proceed(PendingAttempt& pending);
  void FailAttempt(PendingAttempt& pending, OnceReason reason);
  void CloseKey(PendingAttempt& pending,
                Outcome outcome,
                OnceReason reason,
                const StoredAnswer& answer);
  void FinishAttempt(PendingAttempt& pending, const OnceDecision& decision);

  void MarkNotRun(const std::string& claim);
  void RemoveExpiredClaims(TimePoint now);

  PendingAttempt* FindPending(RequestId id);

  // `callback` with this keeper, unless it is gone when the store answers.
  template <typename Result, typename Callback>
  std::function<void(Result)> IfAlive(Callback callback);

  Options options_;
  OwnIncarnations own_incarnations_;
  Hooks hooks_;
  ObjectStore* store_;
  Random random_;
  OnceTable table_;
  uint64_t next_operation_ = 1;
  std::map<RequestId, PendingAttempt> pending_;
  absl::flat_hash_map<std::string, RequestId> pending_by_claim_;
  // Claim names of requests that proceeded and have not ended.
  absl::flat_hash_map<RequestId, std::string> running_;
  absl::flat_hash_map<std::string, OwnClaim> own_claims_;
  // One for each own claim, oldest first.
  std::deque<Removal> removals_;
  // Expires with the keeper.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_COORDINATOR_H_
