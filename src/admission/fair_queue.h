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

// Queue of the waiting requests of one tier. Shares service among client
// accounts by the token cost of requests, in the ratio of the accounts' weights
// (start-time fair queueing). Requests of one account stay in order. An account
// with an empty queue gains no credit for that time.
//
// Entries are owned by the caller and must not move in memory while queued.
class FairQueue {
 public:
  void Push(RequestEntry* entry);

  // Puts `entry` at the head of its account's queue; used for requests whose
  // attempt did not complete.
  void PushFront(RequestEntry* entry);

  // Returns the next request; null if the queue is empty.
  RequestEntry* Front() const;

  // Removes Front() and charges its account.
  RequestEntry* Pop();

  // Removes `entry`, which must be queued here, without a charge.
  void Remove(RequestEntry* entry);

  // Adds `tokens`, which may be negative, to the charge of an account.
  void Charge(int32_t account, int32_t weight, double tokens);

  // Returns the request to shed when the queue is full: the last one of the
  // account with the largest backlog for its weight. Null if the queue is
  // empty.
  RequestEntry* ShedCandidate() const;

  size_t size() const { return size_; }

  // Returns all waiting requests in unspecified order.
  std::vector<RequestEntry*> Entries() const;

 private:
  struct Account {
    std::list<RequestEntry*> waiting;
    // Virtual start time of its next request.
    double start = 0.0;
    // Total cost of its waiting requests, divided by its weight.
    double backlog = 0.0;
  };
  using Order = std::set<std::pair<double, int32_t>>;

  Account& DetachAccount(int32_t account);
  void Insert(Account* account, RequestEntry* entry, bool at_front);
  void DropIdleAccounts();

  absl::flat_hash_map<int32_t, Account> accounts_;
  // Accounts with waiting requests, by virtual start time and by backlog.
  Order by_start_;
  Order by_backlog_;
  // Virtual start time of the last request popped.
  double virtual_time_ = 0.0;
  // Idle accounts are removed once the number of accounts reaches this.
  static constexpr size_t kMinCleanupThreshold = 64;
  size_t cleanup_threshold_ = kMinCleanupThreshold;
  size_t size_ = 0;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_FAIR_QUEUE_H_
