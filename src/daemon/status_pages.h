#ifndef SRC_DAEMON_STATUS_PAGES_H_
#define SRC_DAEMON_STATUS_PAGES_H_

#include <string>

#include "include/settings/router_settings.h"

namespace papaya {

class ControlPlane;
class SchedulerHost;

// Formats the state of a router as JSON for the operators' pages. Runs on the
// control thread.
class StatusPages {
 public:
  // All must outlive this object.
  StatusPages(const RouterSettings* settings,
              ControlPlane* control,
              const SchedulerHost* scheduler)
      : settings_(settings), control_(control), scheduler_(scheduler) {}

  // `GET /v1/status`. `state` is the router's state in charts/router.chart.
  std::string MakeStatus(const std::string& state) const;

  // `GET /v1/routers`.
  std::string MakeRouters() const;

  // `GET /v1/upstreams`.
  std::string MakeUpstreams() const;

 private:
  const RouterSettings* settings_;
  ControlPlane* control_;
  const SchedulerHost* scheduler_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_STATUS_PAGES_H_
