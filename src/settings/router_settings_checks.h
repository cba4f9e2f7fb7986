#ifndef SRC_SETTINGS_ROUTER_SETTINGS_CHECKS_H_
#define SRC_SETTINGS_ROUTER_SETTINGS_CHECKS_H_

#include "include/base/ini_document.h"
#include "include/settings/router_settings.h"
#include "src/settings/fault_list.h"

namespace papaya {

// Adds a fault for each pair of keys that do not go together, in settings
// whose single values were read from `document` already.
void CheckAcrossKeys(const IniDocument& document,
                     const RouterSettings& settings,
                     FaultList& faults);

}  // namespace papaya

#endif  // SRC_SETTINGS_ROUTER_SETTINGS_CHECKS_H_
