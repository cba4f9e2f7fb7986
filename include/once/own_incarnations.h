#ifndef INCLUDE_ONCE_OWN_INCARNATIONS_H_
#define INCLUDE_ONCE_OWN_INCARNATIONS_H_

#include <algorithm>
#include <deque>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The incarnations that one process has run under. It takes a later one when
// the fleet knew its name with one that was not earlier; what it said under
// those before still has to be known as its own for a while.
class OwnIncarnations {
 public:
  // An incarnation is known for `memory` after the change from it.
  OwnIncarnations(Incarnation first, Duration retention)
      : current_(first), retention_(retention) {}

  Incarnation current() const { return current_; }

  void Change(Incarnation next, TimePoint now) {
    former_.push_back(
        {.incarnation = current_, .keep_until = now + retention_});
    current_ = next;
  }

  // True if this process runs, or has run, under `incarnation`.
  bool Contains(Incarnation incarnation) const {
    return incarnation == current_ ||
           std::any_of(former_.begin(), former_.end(),
                       [incarnation](const Former& former) {
                         return former.incarnation == incarnation;
                       });
  }

  // Drops those whose time is up.
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
