#ifndef INCLUDE_ROLLOUT_VERSION_STATS_H_
#define INCLUDE_ROLLOUT_VERSION_STATS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"

namespace papaya {

// Latencies are counted by powers of kLatencyBucketRatio from kLatencyFloor.
// The last bucket has no upper end.
inline constexpr size_t kLatencyBuckets = 24;
inline constexpr double kLatencyBucketRatio = 1.45;
inline constexpr Duration kLatencyFloor = std::chrono::milliseconds(10);

// The bucket that counts `latency`, below kLatencyBuckets.
size_t LatencyBucket(Duration latency);

// The tokens of a stream that its pace is compared over.
inline constexpr Tokens kComparedTokens{64};

// The time of a reply that is compared between versions. Output lengths differ
// a hundredfold, so a stream counts its first token and kComparedTokens at its
// own pace; other replies count whole, with `tokens` zero.
Duration ComparableLatency(Duration first_token, Duration total, Tokens tokens);

// What a row counts. The order is that of the wire.
struct StatsKey {
  // The note in progress that the counts belong to.
  NoteId note;
  PoolId pool;
  VersionId version;
  RouteId route;
  // Of the upstream's hardware; versions are compared within one generation.
  GenerationId generation;
  // Empty for the upstreams that are not counted one by one.
  UpstreamId upstream;

  bool operator==(const StatsKey&) const = default;

  // The parts that differ most come first, as rows are looked up by it.
  friend std::strong_ordering operator<=>(const StatsKey& a,
                                          const StatsKey& b) {
    return std::tie(a.upstream, a.route, a.version, a.generation, a.pool,
                    a.note) <=> std::tie(b.upstream, b.route, b.version,
                                         b.generation, b.pool, b.note);
  }

  template <typename H>
  friend H AbslHashValue(H state, const StatsKey& key) {
    return H::combine(std::move(state), key.note.value(), key.pool.value(),
                      key.version.value(), key.route.value(),
                      key.generation.value(), key.upstream.value());
  }
};

// Counts since the note began, or the router; never smaller than before.
struct StatsCounts {
  uint32_t requests = 0;
  uint32_t failures = 0;
  // Of requests that did not fail.
  std::array<uint32_t, kLatencyBuckets> latency{};

  bool operator==(const StatsCounts&) const = default;
};

struct StatsRow {
  StatsKey key;
  StatsCounts counts;

  bool operator==(const StatsRow&) const = default;
};

// What one router tells the others of pools with a note in progress. Carries
// whole counts, so doubles, loss and reordering are harmless.
struct StatsReport {
  RouterId router;
  Incarnation incarnation;
  // Grows with each report of that incarnation.
  uint64_t sequence = 0;
  std::vector<StatsRow> rows;

  bool operator==(const StatsReport&) const = default;
};

// Bytes that `report` takes on the wire, to within a tenth.
size_t EstimateReportBytes(const StatsReport& report);

// What one router counts by itself, for pools with a note in progress only.
class VersionStats {
 public:
  // Rows of a new version that name their upstream; its others are counted
  // together, as the old version's all are. Which ones are named depends on
  // their ids alone, so all routers name the same.
  static constexpr size_t kMaxNamedUpstreams = 16;
  // Rows in all; requests beyond them are not counted.
  static constexpr size_t kMaxRows = 512;
  static constexpr uint64_t kReportsPerFullReport = 10;

  VersionStats(const RouterId& router, Incarnation incarnation);

  // Counts for pools that have a note in progress in `config`. Rows go when
  // another note takes their pool, or when there is no room.
  void OnConfig(const FleetConfig& config);

  // True if requests to `pool` are counted now.
  bool IsCounting(const PoolId& pool) const;

  // Counts the end of a request that was dispatched to `upstream` as `version`.
  // `failed` if the upstream was at fault; `latency` is ComparableLatency.
  void OnReply(const PoolId& pool,
               const VersionId& version,
               const RouteId& route,
               const UpstreamId& upstream,
               bool failed,
               Duration latency);

  // The rows of pools with a note in progress that have changed since the last
  // report, and all of them in every kReportsPerFullReport-th, so that lost
  // ones are made up for. A router sends it to the pool's judges at the
  // interval of ReportInterval; without rows it need not be sent.
  StatsReport MakeReport();

  // The same with the rows of the pools in `wanted` only.
  StatsReport MakeReport(const std::set<PoolId>& wanted);

  // Bytes on the wire of the report that MakeReport(wanted) would give now.
  size_t NextReportBytes(const std::set<PoolId>& wanted) const;

  // Every row, for this router's own judge.
  StatsReport MakeSnapshot() const;

  // Pools that are counted now.
  std::set<PoolId> CountedPools() const;

  // How often each router may report so that a receiver stays within
  // `bytes_per_second` when `routers` report `report_bytes` each; at least 1 s.
  static Duration ReportInterval(size_t routers,
                                 size_t report_bytes,
                                 double bytes_per_second);

 private:
  struct Pool {
    NoteId note;
    // False while the note that was counted last is not in the configuration.
    bool is_counted = false;
    std::map<UpstreamId, GenerationId> generations;
    // Upstreams with rows of their own, sorted.
    std::vector<UpstreamId> named;
  };

  // The report with that sequence, without rows.
  StatsReport MakeEmptyReport(uint64_t sequence) const;

  // The next report, with its rows left as they are.
  StatsReport PeekReport(const std::set<PoolId>& wanted) const;

  // Drops rows of pools that are not counted now.
  void DropIdleRows();

  const RouterId router_;
  const Incarnation incarnation_;
  uint64_t sequence_ = 0;
  std::map<PoolId, Pool> pools_;
  struct Row {
    StatsCounts counts;
    bool is_changed = true;
  };

  std::map<StatsKey, Row> rows_;
};

// The routers that judge a pool for all: those with the highest rendezvous
// weight for it. All routers when there are few, so that each can judge alone.
inline constexpr size_t kJudgesPerPool = 7;
std::vector<RouterId> JudgesOf(const PoolId& pool,
                               const std::vector<RouterId>& routers);

// The routers whose counts of a pool the judges hear: a sample, so that what
// they hear does not grow with the fleet. All routers when there are few.
inline constexpr size_t kReportersPerPool = 50;
std::vector<RouterId> ReportersOf(const PoolId& pool,
                                  const std::vector<RouterId>& routers);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_VERSION_STATS_H_
