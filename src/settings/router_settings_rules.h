#ifndef SRC_SETTINGS_ROUTER_SETTINGS_RULES_H_
#define SRC_SETTINGS_ROUTER_SETTINGS_RULES_H_

#include <vector>

#include "include/settings/router_settings.h"
#include "src/settings/key_rule.h"

namespace papaya {

// The keys of each section of a router's settings.
const std::vector<KeyRule<RouterSettings>>& RouterRules();
const std::vector<KeyRule<RouterSettings>>& StoreRules();
const std::vector<KeyRule<LimitSettings>>& LimitRules();
const std::vector<KeyRule<RolloutSettings>>& RolloutRules();
const std::vector<KeyRule<AccountSettings>>& AccountRules();
const std::vector<KeyRule<RouteSettings>>& RouteRules();

}  // namespace papaya

#endif  // SRC_SETTINGS_ROUTER_SETTINGS_RULES_H_
