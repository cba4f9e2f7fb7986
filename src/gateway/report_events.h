#ifndef SRC_GATEWAY_REPORT_EVENTS_H_
#define SRC_GATEWAY_REPORT_EVENTS_H_

#include <map>

#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

struct RelayReport;
struct ServiceLoad;

// Returns the limits on the log lines per second of events that come with every
// request, so that logging does not add to the load of a burst.
std::map<EventId, int> RequestEventLimits();

// Returns the log event that reports the end of an accepted request.
EventId EventOf(const RelayReport& report);
Event MakeReportEvent(const RelayReport& report);

// Adds what explains the failure of a request: the load of its service, and the
// time since the store last confirmed the registered upstreams.
void AddServiceFields(const RelayReport& report,
                      const ServiceLoad& load,
                      Duration store_age,
                      Event* event);

}  // namespace papaya

#endif  // SRC_GATEWAY_REPORT_EVENTS_H_
