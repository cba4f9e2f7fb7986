#ifndef INCLUDE_ONCE_OWN_INCARNATIONS_H_
#define INCLUDE_ONCE_OWN_INCARNATIONS_H_

#include <algorithm>
#include <deque>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The current and the recent incarnations of one process. A process moves to a
// later incarnation when the fleet already knows its router name with an equal
// or later one. Tickets and claims made under the earlier incarnation must
// still be recognized as its own for a while.
class OwnIncarnations {
 public:
  // A former incarnation is recognized for `retention` after the change from
  // it.
  OwnIncarnations(Incarnation first, Duration retention)
      : current_(first), retention_(retention) {}

  Incarnation current() const { return current_; }

  void Change(Incarnation next, TimePoint now) {
    former_.push_back(
        {.incarnation = current_, .keep_until = now + retention_});
    current_ = next;
  }

  // Returns true if `incarnation` is the current one or a former one that is
  // still retained.
  bool Contains(Incarnation incarnation) const {
    return incarnation == current_ ||
           std::any_of(former_.begin(), former_.end(),
                       [incarnation](const Former& former) {
                         return former.incarnation == incarnation;
                       });
  }

  // Drops former incarnations that have reached their `keep_until`.
  void Prune(TimePoint now) {
    while (!former_.empty() && former_.front().keep_until <= now) {
      former_.pop_front();
    }
  }

 private:
  struct Former {
    Incarnation incarnation;
    TimePoint keep_until;
  };

  Incarnation current_;
  Duration retention_;
  std::deque<Former> former_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_OWN_INCARNATIONS_H_
