#ifndef SRC_DAEMON_ROUTE_TABLE_H_
#define SRC_DAEMON_ROUTE_TABLE_H_

#include <string>
#include <vector>

#include "include/settings/router_settings.h"
#include "include/wire/http_message.h"

namespace papaya {

// Returns the first of `routes` that matches the method, the path and the
// `papaya-route` header of `request`, or null.
const RouteSettings* FindRoute(const std::vector<RouteSettings>& routes,
                               const HttpRequest& request);

}  // namespace papaya

#endif  // SRC_DAEMON_ROUTE_TABLE_H_
