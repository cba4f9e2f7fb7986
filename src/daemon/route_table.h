#ifndef SRC_DAEMON_ROUTE_TABLE_H_
#define SRC_DAEMON_ROUTE_TABLE_H_

#include <string>
#include <vector>

#include "include/settings/router_settings.h"
#include "include/wire/http_message.h"

namespace papaya {

// The route that `request` takes: the first of `routes` that its method, path
// and `papaya-route` header match. Null if there is none.
const RouteSettings* FindRoute(const std::vector<RouteSettings>& routes,
                               const HttpRequest& request);

}  // namespace papaya

#endif  // SRC_DAEMON_ROUTE_TABLE_H_
