#include "src/daemon/route_table.h"

#include "absl/strings/match.h"
#include "src/daemon/router_error.h"

namespace papaya {

namespace {

constexpr char kAnyMethod[] = "ANY";

bool MatchesPath(const std::string& pattern, const std::string& path) {
  if (pattern.empty() || pattern.back() != '*') {
    return pattern == path;
  }
  return absl::StartsWith(path, pattern.substr(0, pattern.size() - 1));
}

}  // namespace

const RouteSettings* FindRoute(const std::vector<RouteSettings>& routes,
                               const HttpRequest& request) {
  const std::string path = PathOfTarget(request.target);
  const std::string wanted = request.headers.Get(kRouteHeader);
  for (const RouteSettings& route : routes) {
    const bool method_fits =
        route.method == kAnyMethod || route.method == request.method;
    const bool header_fits = !route.by_header || route.id.value() == wanted;
    if (method_fits && header_fits && MatchesPath(route.path, path)) {
      return &route;
    }
  }
  return nullptr;
}

}  // namespace papaya
