#ifndef INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_
#define INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/demand_notice.h"
#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

// The names behind the hashes in DemandNotices, as far as this router uses
// what they name.
class DemandNameResolver {
 public:
  // Knows no name.
  DemandNameResolver() = default;

  // Knows the names of `snapshot`.
  explicit DemandNameResolver(const RoutingSnapshot& snapshot);

  // The report that `notice` of router `from` stands for. Entries of unknown
  // names are left out: this router has nothing to decide about them. If two
  // names have one hash, an entry counts for both, which is the safe side: at
  // worst an upstream is taken to be fuller than it is.
  DemandReport Resolve(const RouterId& from, const DemandNotice& notice) const;

 private:
  absl::flat_hash_map<NameHash, std::vector<UpstreamId>> upstreams_;
  absl::flat_hash_map<NameHash, std::vector<PoolVersion>> groups_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_NAME_RESOLVER_H_
