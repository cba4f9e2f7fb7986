#include "include/once/once_table.h"

#include <cassert>
#include <utility>

namespace papaya {

OnceTable::OnceTable(size_t max_entries, size_t max_answer_bytes)
    : max_entries_(max_entries), max_answer_bytes_(max_answer_bytes) {}

const OnceTable::Entry* OnceTable::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

bool OnceTable::Begin(const std::string& key, TimePoint keep_until) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    assert(found->second.state == State::kAbandoned);
    found->second.state = State::kRunning;
    return true;
  }
  if (entries_.size() >= max_entries_) {
    return false;
  }
  entries_.emplace(key, Entry{});
  expiries_.push_back({.keep_until = keep_until, .key = key});
  return true;
}

void OnceTable::Abandon(const std::string& key) {
  const auto found = entries_.find(key);
  assert(found != entries_.end());
  assert(found->second.state == State::kRunning);
  found->second.state = State::kAbandoned;
}

void OnceTable::End(const std::string& key,
                    Outcome outcome,
                    StoredAnswer answer) {
  const auto found = entries_.find(key);
  assert(found != entries_.end());
  Entry& entry = found->second;
  entry.state = State::kEnded;
  entry.outcome = outcome;
  const size_t bytes = answer.body.size();
  if (bytes > kMaxBodyBytes || answer_bytes_ + bytes > max_answer_bytes_) {
    return;
  }
  answer_bytes_ += bytes;
  entry.answer = std::move(answer);
}

void OnceTable::Prune(TimePoint now) {
  for (size_t remaining = expiries_.size(); remaining > 0; --remaining) {
    if (expiries_.front().keep_until > now) {
      return;
    }
    Expiry expiry = std::move(expiries_.front());
    expiries_.pop_front();
    const auto found = entries_.find(expiry.key);
    assert(found != entries_.end());
    if (found->second.state == State::kRunning) {
      expiries_.push_back(std::move(expiry));
      continue;
    }
    answer_bytes_ -= found->second.answer.body.size();
    entries_.erase(found);
  }
}

}  // namespace papaya
