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

// What one router incarnation remembers of requests that must not run twice,
// by key. Bounded in entries and in bytes of kept answers: when full it takes
// no new key, and it drops an entry only after the time it promised to keep it.
class OnceTable {
 public:
  // How far a request has come.
  enum class State : uint8_t {
    kRunning,    // may be handed to an upstream, or has been
    kAbandoned,  // was not handed over, and its caller was told `unknown`
    kEnded,      // its outcome was told
  };

  struct Entry {
    State state = State::kRunning;
    Outcome outcome = Outcome::kUnknown;
    StoredAnswer answer;
  };

  // The longest body that is kept with an answer, in bytes.
  static constexpr size_t kMaxBodyBytes = 4096;

  OnceTable(size_t max_entries, size_t max_answer_bytes);

  // The entry of `key`; null if there is none.
  const Entry* Find(const std::string& key) const;

  // Adds a running entry that is kept until `keep_until` at least, or sets an
  // abandoned one running again. False if the table is full. `key` must not be
  // running or ended.
  bool Begin(const std::string& key, TimePoint keep_until);

  // Notes that the running request of `key` was given up before any upstream
  // got it.
  void Abandon(const std::string& key);

  // Notes the outcome of `key`, which must be in the table. An answer too long
  // to keep, or one that finds no room, is forgotten; the outcome is not.
  void End(const std::string& key, Outcome outcome, StoredAnswer answer);

  // Drops the entries whose time is up and that are not running.
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
  // Dropped from the front only, so that an entry may stay a little longer
  // than it must.
  std::deque<Expiry> expiries_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_ONCE_TABLE_H_
