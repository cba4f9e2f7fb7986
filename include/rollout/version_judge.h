#ifndef INCLUDE_ROLLOUT_VERSION_JUDGE_H_
#define INCLUDE_ROLLOUT_VERSION_JUDGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_stats.h"

namespace papaya {

class PoolJudge;

struct VersionJudgeOptions {
  // The bound on the probability that a version as good as the old one is ever
  // found bad, over all evaluations, routes, replicas and metrics together.
  double false_alarm_probability = 0.008;
  // The interval between two evaluations of the counts.
  Duration evaluation_interval = std::chrono::seconds(1);
  // A comparison window closes when both versions have had `min_requests`
  // requests in it, or after `max_window` if both have had any.
  int min_requests = 6;
  Duration max_window = std::chrono::seconds(15);
  // Standard deviations of the logarithm of the speeds of VMs of one kind, for
  // model engines and for plain services.
  double engine_speed_spread = 0.4;
  double service_speed_spread = 0.0;
  // Latencies of new versions are reported multiplied by this.
  double new_latency_scale = 1.0;
};

// The evidence against one new version so far.
struct VersionEvidence {
  NoteId note;
  PoolId pool;
  VersionId version;
  // Requests to the new version that have been compared.
  uint64_t requests = 0;
  // All requests to both versions that were reported so far.
  uint64_t reported_new = 0;
  uint64_t reported_old = 0;
  // Natural logarithm of the evidence against the version. The bound at which
  // the version is stopped lies a little above -log(false_alarm_probability).
  double log_evidence = 0.0;
  // The cause with the strongest evidence.
  StopCause cause = StopCause::kFailures;
  // Natural logarithm of the odds that the version is defective rather than as
  // good as the old one (LogDefectOdds). Near 0 without requests.
  double log_defect_odds = 0.0;
};

// Compares each new version with the old version of its pool over the same
// time, using the counts that routers report, and reports new versions and
// single replicas that are bad.
//
// This is a sequential test. For each route and each short window it computes
// exact conditional likelihood ratios of "clearly worse" against "hardly
// worse", one for failures, one for latency ranks and one for very slow
// replies. The products of these ratios over windows are mixed over change
// points, effect sizes, routes and metrics. The mixture is a nonnegative
// supermartingale, so the probability of a false alarm stays bounded however
// often the counts are evaluated.
//
// A version is found bad only if there is evidence against it without any one
// of its replicas, too. Otherwise only single bad replicas are stopped.
class VersionJudge {
 public:
  using StopHook = std::function<void(const StopFact&)>;

  VersionJudge(const VersionJudgeOptions& options, StopHook on_stop);
  ~VersionJudge();

  // Starts judging the versions that `config` introduces by a note and stops
  // judging all others.
  void OnConfig(const FleetConfig& config);

  // Merges a report of this router or of another one. For each router,
  // incarnation and row, the counts with most requests replace the others. Rows
  // of notes that are not in progress here are ignored: counts are cumulative,
  // so a later report has them again.
  void OnReport(const StatsReport& report);

  // Evaluates the counts if `evaluation_interval` has passed. Calls the hook
  // once for each version or replica that is found bad.
  void OnTick(TimePoint now);

  // The evidence on each judged version, for status output and for NoteRunner,
  // which waits until enough requests have been compared.
  std::vector<VersionEvidence> Evidence() const;

  // The approximate memory use of reports and evidence, in bytes.
  size_t ApproximateBytes() const;

 private:
  const VersionJudgeOptions options_;
  const StopHook on_stop_;
  std::map<PoolId, std::unique_ptr<PoolJudge>> pools_;
  std::optional<TimePoint> last_evaluation_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_VERSION_JUDGE_H_
