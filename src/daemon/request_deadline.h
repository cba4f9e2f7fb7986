#ifndef SRC_DAEMON_REQUEST_DEADLINE_H_
#define SRC_DAEMON_REQUEST_DEADLINE_H_

#include "include/base/units.h"
#include "include/settings/router_settings.h"
#include "include/wire/http_message.h"

namespace papaya {

// The deadline of a request: `arrival` plus the route's limit, or plus the time
// in the papaya-deadline-ms header if that is shorter.
TimePoint DeadlineOf(const RouteSettings& route,
                     const HttpHeaders& headers,
                     TimePoint arrival);

// Sets the papaya-deadline-ms header to `left`, the time that remains of the
// deadline of a forwarded request.
void SetTimeLeft(Duration left, HttpHeaders* headers);

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_DEADLINE_H_
