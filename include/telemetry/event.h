#ifndef INCLUDE_TELEMETRY_EVENT_H_
#define INCLUDE_TELEMETRY_EVENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "include/telemetry/event_catalog.h"

namespace papaya {

// One log event: its number and named values, in the order they are printed.
struct Event {
  EventId id;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Where decision cores send their events; the daemon passes the logger.
using EventHook = std::function<void(const Event&)>;

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_EVENT_H_
