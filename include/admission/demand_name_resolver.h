#ifndef INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_
#define INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/demand_notice.h"
#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

// Maps the hashes in DemandNotices back to the names of the upstreams and
// groups that this router uses.
class DemandNameResolver {
 public:
  // Contains no names.
  DemandNameResolver() = default;

  // Contains the names in `snapshot`.
  explicit DemandNameResolver(const RoutingSnapshot& snapshot);

  // Returns the report that `notice` of router `from` encodes. Entries with
  // unknown names are left out, because this router makes no decisions about
  // them. If two names have the same hash, an entry counts for both. This is
  // the safe side: at worst an upstream is considered fuller than it is.
  DemandReport Resolve(const RouterId& from, const DemandNotice& notice) const;

 private:
  absl::flat_hash_map<NameHash, std::vector<UpstreamId>> upstreams_;
  absl::flat_hash_map<NameHash, std::vector<PoolVersion>> groups_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_
