#ifndef BENCH_FLEET_LINKS_H_
#define BENCH_FLEET_LINKS_H_

#include <chrono>

#include "include/base/units.h"

namespace papaya::bench {

// Faults of the links; all drawn anew for each message.
struct FleetLinks {
  Duration delay = std::chrono::microseconds(500);
  double report_loss = 0.0;
  // Reports are delayed by up to this, and so overtake one another.
  Duration report_delay{};
  // Of attempts: the router hears of a failure while the engine goes on.
  double cut = 0.0;
  // How late, and how often lost, news of what engines have cached are.
  Duration cache_event_delay = std::chrono::seconds(2);
  double cache_event_loss = 0.1;
  // How old load reports are when they arrive.
  Duration load_report_age = std::chrono::seconds(5);
};

}  // namespace papaya::bench

#endif  // BENCH_FLEET_LINKS_H_
