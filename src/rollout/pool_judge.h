#ifndef SRC_ROLLOUT_POOL_JUDGE_H_
#define SRC_ROLLOUT_POOL_JUDGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "src/rollout/latency_ratio.h"
#include "src/rollout/subset_evidence.h"

namespace papaya {

// Judges one new version of one pool for one note.
class PoolJudge {
 public:
  PoolJudge(const VersionJudgeOptions& options,
            const NoteId& note,
            const PoolId& pool,
            const VersionId& version);

  bool IsFor(const NoteId& note, const VersionId& version) const {
    return note == note_ && version == version_;
  }

  // Learns how many replicas either version has.
  void OnConfig(const FleetConfig& config);

  // Merges one row of one router's report, if it is of this note and pool.
  void OnRow(const RouterId& router,
             Incarnation incarnation,
             const StatsRow& row);

  // Takes in what has been counted since the last look; adds what it found bad
  // for the first time to `found`.
  void Evaluate(TimePoint now, std::vector<StopFact>* found);

  VersionEvidence Evidence() const;

  size_t ApproximateBytes() const;

 private:
  // Latencies are compared within one route and one generation of hardware.
  // Failures don't hang on the hardware: they are compared within one route,
  // in the stratum without a generation, so that a replica whose generation no
  // old replica shares is judged too.
  using StratumId = std::pair<RouteId, std::optional<GenerationId>>;

  // Counts of one stratum so far, over all routers.
  struct StratumCounts {
    StatsCounts old;
    std::map<UpstreamId, StatsCounts> replicas;
  };

  struct Stratum {
    StratumCounts total;
    // What had been compared when the last window closed, and when that was.
    StratumCounts compared;
    std::optional<TimePoint> window_start;
    // Requests since then.
    uint64_t candidate = 0;
    uint64_t old = 0;
  };

  // A set of replicas whose evidence is kept.
  enum class SubsetKind : uint8_t { kAll, kOnly, kWithout };

  using SubsetId = std::pair<SubsetKind, UpstreamId>;

  // How latencies of a window are compared.
  struct LatencyScale {
    LatencyScores scores{};
    // Buckets from here on are very slow.
    size_t first_very_slow_bucket = 0;
  };

  static void AddCounts(const StatsCounts& delta, StatsCounts* sum);
  static void AddOld(const StatsCounts& delta, Stratum* stratum);
  static void AddCandidate(const StatsCounts& delta,
                           const UpstreamId& replica,
                           Stratum* stratum);
  bool IsWindowDue(const Stratum& stratum, TimePoint now) const;
  void CloseWindow(const StratumId& id, Stratum* stratum, TimePoint now);
  void CompareWindow(const StratumId& id,
                     const StratumCounts& window,
                     const std::optional<LatencyScale>& scale);
  // The ratios of one quantity, if it is compared in stratum `id`.
  std::optional<LogRatios> RatiosOf(
      const StratumId& id,
      const SubsetId& subset,
      Metric metric,
      const StatsCounts& candidate,
      const StatsCounts& old,
      const std::optional<LatencyScale>& scale) const;
  ReplicaCounts CountReplicas(const StratumId& id,
                              const SubsetId& subset) const;
  void AddSubsets();
  void AddChangePoints(TimePoint now);
  bool HoldsWithoutAnyOne(const SubsetEvidence& all) const;
  void AddNewFindings(std::vector<StopFact>* found);
  StopFact MakeFact(const SubsetEvidence& subset,
                    const UpstreamId& upstream) const;

  const VersionJudgeOptions options_;
  const NoteId note_;
  const PoolId pool_;
  const VersionId version_;
  // By router, incarnation and row: the largest counts seen.
  std::map<std::pair<RouterId, Incarnation>,
           absl::flat_hash_map<StatsKey, StatsCounts>>
      reported_;
  std::map<StratumId, Stratum> strata_;
  std::map<SubsetId, SubsetEvidence> subsets_;
  std::set<UpstreamId> replicas_;
  // Replicas in the configuration, by generation.
  std::map<GenerationId, ReplicaCounts> configured_replicas_;
  std::set<UpstreamId> stopped_replicas_;
  bool is_version_stopped_ = false;
  std::optional<TimePoint> next_change_point_;
  uint64_t requests_ = 0;
  // Of all replicas together, at the last look that had more to compare.
  double log_evidence_ = 0.0;
  StopCause cause_ = StopCause::kFailures;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_POOL_JUDGE_H_
