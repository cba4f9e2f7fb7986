#ifndef TESTS_FAKES_FAKE_LINK_H_
#define TESTS_FAKES_FAKE_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "include/base/random.h"
#include "include/base/units.h"
#include "tests/fakes/event_queue.h"

namespace papaya {

// Where an end of the link stands.
struct LinkPlace {
  int region = 0;
  int zone = 0;
};

// Bytes and messages that one end sent and received.
struct LinkUse {
  int64_t bytes = 0;
  int64_t messages = 0;
};

// Carries messages between numbered ends in virtual time, with delay by
// distance, loss, doubles and cuts. Without an order: a later message may
// overtake an earlier one.
class FakeLink {
 public:
  struct Faults {
    double loss = 0.0;
    double doubles = 0.0;
    // A message is late by up to this much more.
    Duration extra_delay{};
  };

  FakeLink(EventQueue* queue, Random random, std::vector<LinkPlace> places)
      : queue_(queue),
        random_(random),
        places_(std::move(places)),
        use_(places_.size()) {}

  Faults faults;
  // True if nothing passes between two ends; unset cuts nothing.
  std::function<bool(size_t, size_t)> is_cut;

  void Send(size_t from, size_t to, size_t bytes, std::function<void()> take) {
    Count(from, bytes);
    if ((is_cut && is_cut(from, to)) || random_.Chance(faults.loss)) {
      return;
    }
    if (random_.Chance(faults.doubles)) {
      Deliver(from, to, bytes, take);
    }
    Deliver(from, to, bytes, std::move(take));
  }

  const LinkUse& use(size_t end) const { return use_[end]; }
  const LinkPlace& place(size_t end) const { return places_[end]; }
  size_t size() const { return places_.size(); }

 private:
  Duration DelayOf(size_t from, size_t to) {
    constexpr Duration kSameZone = std::chrono::microseconds(200);
    constexpr Duration kSameRegion = std::chrono::microseconds(700);
    constexpr Duration kElsewhere = std::chrono::milliseconds(60);
    const LinkPlace& a = places_[from];
    const LinkPlace& b = places_[to];
    const Duration near = a.zone == b.zone ? kSameZone : kSameRegion;
    const Duration base = a.region == b.region ? near : kElsewhere;
    const double extra = ToSeconds(faults.extra_delay) * random_.Uniform();
    return random_.Jitter(base, 0.3) + SecondsToDuration(extra);
  }

  void Deliver(size_t from,
               size_t to,
               size_t bytes,
               std::function<void()> take) {
    queue_->After(DelayOf(from, to), [this, to, bytes, take = std::move(take)] {
      Count(to, bytes);
      take();
    });
  }

  void Count(size_t end, size_t bytes) {
    use_[end].bytes += static_cast<int64_t>(bytes);
    ++use_[end].messages;
  }

  EventQueue* const queue_;
  Random random_;
  const std::vector<LinkPlace> places_;
  std::vector<LinkUse> use_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_LINK_H_
