#ifndef INCLUDE_CONFIG_REVISION_REPORT_H_
#define INCLUDE_CONFIG_REVISION_REPORT_H_

#include <cstddef>
#include <vector>

#include "include/base/ids.h"

namespace papaya {

// The revision that one router has in force, as another knows it.
struct RouterRevision {
  RouterId router;
  // 0 if none is, or none is known.
  Revision revision;

  bool operator==(const RouterRevision&) const = default;
};

// Which revision is in force where, as one router knows it. Never ahead of the
// truth: news may be late, but a router counts only after it said so itself.
struct RevisionReport {
  // The highest revision known to be in force anywhere.
  Revision highest;
  // All routers believed to run, sorted by id.
  std::vector<RouterRevision> routers;

  // How many of them have `revision` or a later one in force.
  size_t CountInForce(Revision revision) const;

  // Those that have neither, sorted.
  std::vector<RouterId> FindLacking(Revision revision) const;
};

}  // namespace papaya

#endif  // INCLUDE_CONFIG_REVISION_REPORT_H_
