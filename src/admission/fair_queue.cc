#include "src/admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace papaya {

namespace {

double WeightedCost(const RequestEntry& entry) {
  return entry.cost / entry.account_weight;
}

}  // namespace

FairQueue::Account& FairQueue::DetachAccount(int32_t account) {
  auto [found, is_new] = accounts_.try_emplace(account);
  Account& state = found->second;
  if (state.waiting.empty()) {
    state.start = std::max(state.start, virtual_time_);
    state.backlog = 0.0;
    return state;
  }
  by_start_.erase({state.start, account});
  by_backlog_.erase({state.backlog, account});
  return state;
}

void FairQueue::Insert(Account* account, RequestEntry* entry, bool at_front) {
  auto place = at_front ? account->waiting.begin() : account->waiting.end();
  entry->queue_place = account->waiting.insert(place, entry);
  account->backlog += WeightedCost(*entry);
  by_start_.insert({account->start, entry->account});
  by_backlog_.insert({account->backlog, entry->account});
  ++size_;
}

void FairQueue::Push(RequestEntry* entry) {
  Insert(&DetachAccount(entry->account), entry, /*at_front=*/false);
}

void FairQueue::PushFront(RequestEntry* entry) {
  Insert(&DetachAccount(entry->account), entry, /*at_front=*/true);
}

RequestEntry* FairQueue::Front() const {
  if (by_start_.empty()) {
    return nullptr;
  }
  return accounts_.at(by_start_.begin()->second).waiting.front();
}

RequestEntry* FairQueue::Pop() {
  RequestEntry* entry = Front();
  assert(entry != nullptr);
  virtual_time_ = by_start_.begin()->first;
  Remove(entry);
  Charge(entry->account, entry->account_weight, entry->cost);
  return entry;
}

void FairQueue::Remove(RequestEntry* entry) {
  Account& account = DetachAccount(entry->account);
  account.waiting.erase(entry->queue_place);
  account.backlog -= WeightedCost(*entry);
  --size_;
  if (!account.waiting.empty()) {
    by_start_.insert({account.start, entry->account});
    by_backlog_.insert({account.backlog, entry->account});
  }
  DropIdleAccounts();
}

void FairQueue::Charge(int32_t account, int32_t weight, double tokens) {
  const bool is_waiting =
      accounts_.contains(account) && !accounts_[account].waiting.empty();
  Account& state = DetachAccount(account);
  state.start += tokens / weight;
  if (is_waiting) {
    by_start_.insert({state.start, account});
    by_backlog_.insert({state.backlog, account});
  }
}

RequestEntry* FairQueue::ShedCandidate() const {
  if (by_backlog_.empty()) {
    return nullptr;
  }
  return accounts_.at(by_backlog_.rbegin()->second).waiting.back();
}

std::vector<RequestEntry*> FairQueue::Entries() const {
  std::vector<RequestEntry*> entries;
  entries.reserve(size_);
  for (const auto& [id, account] : accounts_) {
    entries.insert(entries.end(), account.waiting.begin(),
                   account.waiting.end());
  }
  return entries;
}

// Accounts with nothing waiting and no outstanding charge equal new accounts.
void FairQueue::DropIdleAccounts() {
  if (accounts_.size() < cleanup_threshold_) {
    return;
  }
  absl::erase_if(accounts_, [this](const auto& item) {
    return item.second.waiting.empty() && item.second.start <= virtual_time_;
  });
  // Doubling the threshold keeps the cost of a scan proportional to the number
  // of accounts added since the last one.
  cleanup_threshold_ = std::max(kMinCleanupThreshold, 2 * accounts_.size());
}

}  // namespace papaya
