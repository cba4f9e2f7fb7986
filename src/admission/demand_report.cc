#include "include/admission/demand_report.h"

#include <algorithm>

namespace papaya {

const GroupDemand* FindGroup(const DemandReport& report,
                             const PoolVersion& group) {
  const auto found = std::find_if(
      report.groups.begin(), report.groups.end(),
      [&group](const GroupDemand& demand) { return demand.group == group; });
  return found == report.groups.end() ? nullptr : &*found;
}

}  // namespace papaya
