#ifndef INCLUDE_ONCE_ONCE_TABLE_H_
#define INCLUDE_ONCE_ONCE_TABLE_H_

#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "include/base/outcome.h"
#include "include/base/units.h"
#include "include/once/stored_answer.h"

namespace papaya {

// Records of at-most-once requests in one router process, by key. The number of
// entries and the total bytes of stored response bodies are limited. When the
// table is full, it accepts no new key; an entry is never dropped before its
// promised time.
class OnceTable {
 public:
  // Progress of a request.
  enum class State : uint8_t {
    kRunning,    // may be dispatched to an upstream, or has been
    kAbandoned,  // ended before dispatch; the key is still open
    kEnded,      // its outcome is final
  };

  struct Entry {
    State state = State::kRunning;
    Outcome outcome = Outcome::kUnknown;
    StoredAnswer answer;
  };

  // Largest response body that is stored, in bytes.
  static constexpr size_t kMaxBodyBytes = 4096;

  OnceTable(size_t max_entries, size_t max_answer_bytes);

  // Returns the entry of `key`, or null if there is none. The pointer is valid
  // until the next Begin or Prune.
  const Entry* Find(const std::string& key) const;

  // Adds a running entry that is kept at least until `keep_until`, or sets an
  // abandoned entry back to running without changing its time. Returns false if
  // the table is full. `key` must be neither running nor ended.
  bool Begin(const std::string& key, TimePoint keep_until);

  // Marks the running request of `key` as abandoned: it ended before it was
  // dispatched to an upstream.
  void Abandon(const std::string& key);

  // Records the outcome of `key`, which must be in the table. The response is
  // not stored if its body is longer than kMaxBodyBytes or would exceed
  // `max_answer_bytes`; the outcome always is.
  void End(const std::string& key, Outcome outcome, StoredAnswer answer);

  // Drops the entries that have reached their `keep_until` and are not running.
  void Prune(TimePoint now);

  size_t size() const { return entries_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Expiry {
    TimePoint keep_until;
    std::string key;
  };

  size_t max_entries_;
  size_t max_answer_bytes_;
  size_t answer_bytes_ = 0;
  absl::flat_hash_map<std::string, Entry> entries_;
  // Ordered by insertion and dropped from the front only, so an entry may be
  // kept slightly longer than promised.
  std::deque<Expiry> expiries_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_ONCE_TABLE_H_
