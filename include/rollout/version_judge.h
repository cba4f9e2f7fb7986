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
  // The chance that a version as good as the old one is ever called bad, over
  // all looks, routes, replicas and quantities together.
  double false_alarm_probability = 0.008;
  // Counts are compared this often.
  Duration evaluation_interval = std::chrono::seconds(1);
  // A comparison waits for so many requests on either side, or so long.
  int min_requests = 6;
  Duration max_window = std::chrono::seconds(15);
};

// How far the evidence on one version has come.
struct VersionEvidence {
  NoteId note;
  PoolId pool;
  VersionId version;
  // Requests compared, of the new version.
  uint64_t requests = 0;
  // Natural log of the evidence against the version; it is stopped at
  // -log(false_alarm_probability).
  double log_evidence = 0.0;
  // What most of it is about.
  StopCause cause = StopCause::kFailures;
};

// Compares a new version with the old one of its pool over the same time, from
// the counts of all routers, and says when it is bad or one of its replicas is.
//
// Sequential test: for each route, each short window gives an exact conditional
// likelihood ratio for failures, for latencies by rank and for very slow
// replies, of `clearly worse` against `hardly worse`. Products over
// windows, mixed over starting times, effects, routes and quantities, form one
// supermartingale, so the chance of a false alarm stays bounded however often
// one looks.
//
// A version is bad only if its evidence stands without its worst replica too;
// otherwise that replica alone is stopped.
class VersionJudge {
 public:
  using StopHook = std::function<void(const StopFact&)>;

  VersionJudge(const VersionJudgeOptions& options, StopHook on_stop);
  ~VersionJudge();

  // Starts judging versions that `config` brings in by a note, ends judging
  // those that it does not any more.
  void OnConfig(const FleetConfig& config);

  // Merges a report, of this router or of another: of each router, incarnation
  // and row the larger count stands. Of notes that are not in progress here it
  // keeps nothing; the next report has the same counts again.
  void OnReport(const StatsReport& report);

  // Looks when it is time; calls the hook at most once for each finding.
  void OnTick(TimePoint now);

  // For status and for the runner's question if enough was seen.
  std::vector<VersionEvidence> Evidence() const;

  // Bytes that reports and evidence take, about.
  size_t ApproximateBytes() const;

 private:
  const VersionJudgeOptions options_;
  const StopHook on_stop_;
  std::map<PoolId, std::unique_ptr<PoolJudge>> pools_;
  std::optional<TimePoint> last_evaluation_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_VERSION_JUDGE_H_
