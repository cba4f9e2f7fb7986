#include "src/rollout/note_messages.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace papaya {

namespace {

template <typename Id>
std::string JoinNames(const std::vector<Id>& ids) {
  std::string text;
  for (size_t i = 0; i < ids.size(); ++i) {
    const char* const before =
        i == 0 ? "" : (i + 1 == ids.size() ? " and " : ", ");
    absl::StrAppend(&text, before, ids[i].value());
  }
  return text;
}

}  // namespace

std::string ListNames(const std::vector<PoolId>& pools) {
  return JoinNames(pools);
}

std::string ListNames(const std::vector<UpstreamId>& upstreams) {
  return JoinNames(upstreams);
}

std::string DescribeStop(const StopFact& fact) {
  const char* const what =
      fact.cause == StopCause::kFailures ? "fails more often" : "is slower";
  const std::string where =
      fact.route.empty() ? "" : absl::StrCat(" on route ", fact.route.value());
  return absl::StrCat("version ", fact.version.value(), " of ",
                      fact.pool.value(), " ", what,
                      " than the version before it", where);
}

std::string DescribeStage(int stage, size_t stages, Permille share) {
  return absl::StrFormat(
      "stage %d of %d: %d.%d%% of the traffic is on the new version", stage + 1,
      static_cast<int>(stages), share.value() / 10, share.value() % 10);
}

std::string DescribeLateness(WallTime traffic_by, int stage, size_t stages) {
  const int last = static_cast<int>(stages);
  return absl::StrFormat(
      "traffic could not be moved by %s: stage %d of %d was not over in time",
      FormatWallTime(traffic_by), std::min(stage + 1, last), last);
}

std::string DescribeMove(const std::vector<PoolId>& pools, uint64_t requests) {
  return absl::StrCat("all traffic of ", ListNames(pools),
                      " has moved; judged over ", requests, " requests");
}

std::string DescribeChange(const std::vector<PoolId>& pools) {
  return absl::StrCat("all changes to ", ListNames(pools), " are in force");
}

std::string DescribeEjected(const std::vector<UpstreamId>& upstreams) {
  return absl::StrCat(
      "; set aside and out of the fleet: ", ListNames(upstreams),
      ", look at their VMs and add them by another note");
}

}  // namespace papaya
