#ifndef SRC_ADMISSION_FAIR_QUEUE_H_
#define SRC_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/admission/request_entry.h"

namespace papaya {

// Waiting requests of one tier, shared out between client accounts by the
// tokens that they cost, in the ratio of the accounts' weights: start-time
// fair queueing. Requests of one account keep their order. An account that
// had nothing waiting gains no credit for that time.
//
// Entries are owned elsewhere and must stay where they are while queued.
class FairQueue {
 public:
  void Push(RequestEntry* entry);

  // Back to the head of its account's line, as a request that was cancelled
  // through no fault of its own.
  void PushFront(RequestEntry* entry);

  // The request whose turn it is; null if none waits.
  RequestEntry* Front() const;

  // Takes Front() out and charges its account.
  RequestEntry* Pop();

  // Takes `entry` out without charge; it must be queued here.
  void Remove(RequestEntry* entry);

  // Corrects the charge of an account by `tokens`, more or less.
  void Charge(int32_t account, int32_t weight, double tokens);

  // The request to give up when there is no room: the last one of the account
  // with the longest backlog for its weight. Null if none waits.
  RequestEntry* ShedCandidate() const;

  size_t size() const { return size_; }

  // All waiting requests, in no useful order.
  std::vector<RequestEntry*> Entries() const;

 private:
  struct Account {
    std::list<RequestEntry*> waiting;
    // Where its next request starts on the virtual clock.
    double start = 0.0;
    // What its waiting requests cost together, over its weight.
    double backlog = 0.0;
  };
  using Order = std::set<std::pair<double, int32_t>>;

  Account& DetachAccount(int32_t account);
  void Insert(Account* account, RequestEntry* entry, bool at_front);
  void DropIdleAccounts();

  absl::flat_hash_map<int32_t, Account> accounts_;
  // Accounts with waiting requests, by start and by backlog.
  Order by_start_;
  Order by_backlog_;
  // The start of the request popped last.
  double virtual_time_ = 0.0;
  // Idle accounts are looked through once there are so many accounts.
  static constexpr size_t kMinCleanupThreshold = 64;
  size_t cleanup_threshold_ = kMinCleanupThreshold;
  size_t size_ = 0;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_FAIR_QUEUE_H_
