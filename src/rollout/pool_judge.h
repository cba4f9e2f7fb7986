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

// Compares one new version of one pool with the old version, for one note.
class PoolJudge {
 public:
  PoolJudge(const VersionJudgeOptions& options,
            const NoteId& note,
            const PoolId& pool,
            const VersionId& version);

  bool IsFor(const NoteId& note, const VersionId& version) const {
    return note == note_ && version == version_;
  }

  // Updates the number of replicas of both versions.
  void OnConfig(const FleetConfig& config);

  // Merges one row of a router's report. Rows of other notes or pools are
  // ignored.
  void OnRow(const RouterId& router,
             Incarnation incarnation,
             const StatsRow& row);

  // Compares the counts received since the last evaluation in the strata whose
  // window is due. Appends a fact to `found` for a version or replica that is
  // found bad for the first time.
  void Evaluate(TimePoint now, std::vector<StopFact>* found);

  VersionEvidence Evidence() const;

  size_t ApproximateBytes() const;

 private:
  // Latencies are compared within one route and one generation of hardware.
  // Failures do not depend on the hardware. They are compared within one route,
  // in the stratum without a generation, so that a replica is judged also if
  // the old version has no replica of its generation.
  using StratumId = std::pair<RouteId, std::optional<GenerationId>>;

  // The sum of one stratum's counts over all routers. `replicas` has the counts
  // of the new version.
  struct StratumCounts {
    StatsCounts old;
    std::map<UpstreamId, StatsCounts> replicas;
  };

  struct Stratum {
    StratumCounts total;
    // The counts that were compared up to the end of the last window. The
    // current window started at `window_start`.
    StratumCounts compared;
    std::optional<TimePoint> window_start;
    // Requests to the new (candidate) and the old version in this window.
    uint64_t candidate = 0;
    uint64_t old = 0;
  };

  // The subsets of replicas for which evidence is kept: all replicas, each
  // replica alone, and all replicas without each one.
  enum class SubsetKind : uint8_t { kAll, kOnly, kWithout };

  using SubsetId = std::pair<SubsetKind, UpstreamId>;

  // The scale by which the latencies of a window are compared.
  struct LatencyScale {
    LatencyScores scores{};
    // Replies in this bucket and above are very slow.
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
  // Returns the ratios of one metric, or nothing if it is not compared in
  // stratum `id`.
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
  double DefectOdds() const;
  StopFact MakeFact(const SubsetEvidence& subset,
                    const UpstreamId& upstream) const;

  const VersionJudgeOptions options_;
  const NoteId note_;
  const PoolId pool_;
  const VersionId version_;
  // The largest counts received for each router, incarnation and row.
  std::map<std::pair<RouterId, Incarnation>,
           absl::flat_hash_map<StatsKey, StatsCounts>>
      reported_;
  std::map<StratumId, Stratum> strata_;
  std::map<SubsetId, SubsetEvidence> subsets_;
  std::set<UpstreamId> replicas_;
  // The number of replicas in the configuration, by generation.
  std::map<GenerationId, ReplicaCounts> configured_replicas_;
  std::set<UpstreamId> stopped_replicas_;
  bool is_engine_ = false;
  // DefectOdds for the present counts, as it takes up to a millisecond to
  // compute and is asked for several times in a tick.
  mutable bool has_new_counts_ = false;
  mutable double log_defect_odds_ = 0.0;
  bool is_version_stopped_ = false;
  std::optional<TimePoint> next_change_point_;
  uint64_t requests_ = 0;
  // The evidence against all replicas together, as of the last evaluation that
  // closed a window.
  double log_evidence_ = 0.0;
  StopCause cause_ = StopCause::kFailures;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_POOL_JUDGE_H_
