#ifndef SRC_DAEMON_REQUEST_DEADLINE_H_
#define SRC_DAEMON_REQUEST_DEADLINE_H_

#include "include/base/units.h"
#include "include/settings/router_settings.h"
#include "include/wire/http_message.h"

namespace papaya {

// The deadline that the route gives, shortened by the caller's own.
TimePoint DeadlineOf(const RouteSettings& route,
                     const HttpHeaders& headers,
                     TimePoint arrival);

// Makes `left` the caller's own deadline: what another router has left of it.
void SetTimeLeft(Duration left, HttpHeaders* headers);

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_DEADLINE_H_
