#ifndef INCLUDE_ONCE_TICKET_H_
#define INCLUDE_ONCE_TICKET_H_

#include <cstdint>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Permits one request to run at most once. Only the router incarnation that
// issued the ticket decides on requests that carry it.
struct Ticket {
  RouterId issuer;
  Incarnation incarnation;
  // Unique within the issuing process.
  uint64_t serial = 0;
  // Time on the issuer's monotonic clock, meaningless to other processes.
  TimePoint expires;

  bool operator==(const Ticket&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_TICKET_H_
