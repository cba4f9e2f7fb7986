#ifndef INCLUDE_ONCE_TICKET_H_
#define INCLUDE_ONCE_TICKET_H_

#include <cstdint>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The right to have one request run at most once, decided by the router
// incarnation that issued it and by nobody else.
struct Ticket {
  RouterId issuer;
  Incarnation incarnation;
  // Unique within the incarnation.
  uint64_t serial = 0;
  // On the issuer's monotonic clock; only the issuer can read it.
  TimePoint expires;

  bool operator==(const Ticket&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_TICKET_H_
