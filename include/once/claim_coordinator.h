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

// One attempt at a request whose caller supplied its own idempotency key.
struct ClaimAttempt {
  RequestId id;
  // Claim name of the account's key, as returned by ClaimName.
  std::string claim;
  // The caller cannot use a response after this time. The first tick at or
  // after it ends an attempt that is still undecided.
  TimePoint deadline;
  // True if the caller states that this is its first attempt with the key and
  // that it sends no other before it has received the response or closed the
  // connection. Only such an attempt may be reported as `not-run` when its key
  // could not be claimed.
  bool is_first = false;
};

// Decides on requests that carry a caller's own idempotency key. Before a
// request is dispatched, the coordinator claims the key by a conditional write
// to the Object API that requires the key to be absent. At most one of all
// attempts with the same key, through any routers, proceeds. Once an outcome
// has been recorded for a key, the key is closed and runs no further request.
//
// If the result of a claim write is lost, the claim is read back and recognized
// by its operation id, which names the claiming router and incarnation. A claim
// of another incarnation is never taken over. Its router is queried for the
// outcome; if that router is dead, the outcome is unknown.
//
// Not thread-safe: all calls and hooks run on one thread, the control thread.
class ClaimCoordinator {
 public:
  struct Options {
    RouterId router;
    Incarnation incarnation;
    // Claims are stored under `<key_prefix>claims/`.
    std::string key_prefix;
    // Time that a claim and its outcome are kept.
    Duration retention = std::chrono::hours(1);
    // Time to wait for the claimer's reply to a query.
    Duration query_timeout = std::chrono::milliseconds(500);
    Duration min_backoff = std::chrono::milliseconds(50);
    Duration max_backoff = std::chrono::seconds(2);
    size_t max_claims = 20000;
    size_t max_answer_bytes = size_t{16} << 20;
  };

  struct Hooks {
    // Reports the decision on an attempt, kProceed or kRespond. Called exactly
    // once per attempt, possibly from inside Start.
    std::function<void(RequestId, const OnceDecision&)> on_decision;
    // Sends a query to the router that claimed the key.
    std::function<void(const RouterId&, const ClaimQuery&)> send_query;
    // True if the router is believed to be alive under that incarnation.
    std::function<bool(const RouterId&, Incarnation)> is_alive;
    // Current time, for use in callbacks of the store.
    std::function<TimePoint()> now;
    std::function<WallTime()> wall_now;
  };

  // `store` must outlive the coordinator. Its callbacks may run after the
  // coordinator was destroyed; they then do nothing.
  ClaimCoordinator(Options options,
                   Hooks hooks,
                   ObjectStore* store,
                   Random random);

  // Starts deciding an attempt. `on_decision` is called at the latest by the
  // first tick after the attempt's deadline. After kProceed, the caller must
  // call End.
  void Start(const ClaimAttempt& attempt, TimePoint now);

  // Records the outcome of a request that proceeded. `not-run` is also written
  // to the stored claim, on a best-effort basis.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  // Returns the state of a key that this router claimed.
  ClaimReply OnQuery(const ClaimQuery& query);

  void OnReply(const ClaimReply& reply, TimePoint now);

  // Switches this process to a later incarnation. Claims that it made under
  // earlier ones are still treated as its own.
  void SetIncarnation(Incarnation incarnation, TimePoint now) {
    own_incarnations_.Change(incarnation, now);
  }

  // Ends attempts whose deadline has passed, retries store calls whose backoff
  // has ended and removes claims older than the retention. Call it about every
  // 20 ms.
  void OnTick(TimePoint now);

  // Number of attempts that wait for the store or for a claimer's reply.
  size_t pending() const { return pending_.size(); }

 private:
  enum class Step : uint8_t { kClaiming, kReadingBack, kQuerying, kBackoff };

  struct PendingAttempt {
    ClaimAttempt attempt;
    Step step = Step::kClaiming;
    // With kBackoff: the store call to make after the backoff.
    Step next_step = Step::kClaiming;
    // With kBackoff and kQuerying.
    TimePoint step_deadline;
    Duration backoff{};
    // True once the stored claim was seen to belong to another incarnation.
    bool is_foreign = false;
  };

  // A claim that this process wrote or may have written.
  struct OwnClaim {
    OperationId operation;
    // Version in the store; 0 while unknown.
    ObjectVersion version;
  };

  struct Removal {
    TimePoint due;
    std::string claim;
  };

  // The key of the claim's object in the Object API.
  std::string StoreKey(const std::string& claim) const;
  // Adds or reopens the claim's table entry and assigns its operation id.
  // Returns false if the table is full.
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

  // Each of these ends the attempt and invalidates `pending`.
  void Proceed(PendingAttempt& pending);
  // Ends an attempt whose key has no known outcome. Closes the key as
  // `not-run` if this process holds the claim; otherwise leaves it open.
  void FailAttempt(PendingAttempt& pending, OnceReason reason);
  // Records `outcome` as the final one of the key.
  void CloseKey(PendingAttempt& pending,
                Outcome outcome,
                OnceReason reason,
                const StoredAnswer& answer);
  void FinishAttempt(PendingAttempt& pending, const OnceDecision& decision);

  // Writes `not-run` to the stored claim if its version is known.
  void MarkNotRun(const std::string& claim);
  void RemoveExpiredClaims(TimePoint now);

  // Returns null if the attempt has ended.
  PendingAttempt* FindPending(RequestId id);

  // Wraps `callback` so that it does nothing once the coordinator is destroyed.
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
  // One entry for each element of own_claims_, oldest first; postponed removals
  // move to the back.
  std::deque<Removal> removals_;
  // Destroyed with the coordinator; callbacks hold weak pointers to it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_COORDINATOR_H_
