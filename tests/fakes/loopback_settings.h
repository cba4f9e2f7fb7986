#ifndef TESTS_FAKES_LOOPBACK_SETTINGS_H_
#define TESTS_FAKES_LOOPBACK_SETTINGS_H_

#include <string>

#include "include/settings/router_settings.h"

namespace papaya {

// Settings of a router that listens on free loopback ports. Accounts, routes
// and the chart directory remain to be set.
inline RouterSettings LoopbackSettings(const std::string& fleet,
                                       const std::string& store_address) {
  RouterSettings settings;
  settings.fleet = FleetId(fleet);
  settings.router = RouterId("router-1");
  settings.zone = AvailabilityZoneId("zone-a");
  settings.caller_address = "127.0.0.1:0";
  settings.operator_address = "127.0.0.1:0";
  settings.peer_address = "127.0.0.1:0";
  settings.fleet_secret = "a secret of the fleet";
  settings.store_address = store_address;
  settings.store_prefix = fleet;
  return settings;
}

}  // namespace papaya

#endif  // TESTS_FAKES_LOOPBACK_SETTINGS_H_
