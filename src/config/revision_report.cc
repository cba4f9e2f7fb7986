#include "include/config/revision_report.h"

#include <algorithm>

namespace papaya {

size_t RevisionReport::CountInForce(Revision revision) const {
  return static_cast<size_t>(std::count_if(
      routers.begin(), routers.end(), [revision](const RouterRevision& router) {
        return router.revision >= revision;
      }));
}

std::vector<RouterId> RevisionReport::FindLacking(Revision revision) const {
  std::vector<RouterId> lacking;
  for (const RouterRevision& router : routers) {
    if (router.revision < revision) {
      lacking.push_back(router.router);
    }
  }
  return lacking;
}

}  // namespace papaya
