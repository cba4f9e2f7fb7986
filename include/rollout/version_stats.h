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

// Latencies are counted in buckets whose bounds grow from kLatencyFloor by a
// factor of kLatencyBucketRatio each. The last bucket has no upper bound.
inline constexpr size_t kLatencyBuckets = 24;
inline constexpr double kLatencyBucketRatio = 1.45;
inline constexpr Duration kLatencyFloor = std::chrono::milliseconds(10);

// Returns the index of the bucket that counts `latency`, below kLatencyBuckets.
size_t LatencyBucket(Duration latency);

// The number of tokens for which the time of a streamed reply is compared.
inline constexpr Tokens kComparedTokens{64};

// Returns the latency of a reply that is compared between versions. Output
// lengths differ a hundredfold, so the latency of a stream is its time to first
// token plus kComparedTokens times its mean time per further token. The latency
// of a reply with fewer than two tokens, such as one that is not streamed
// (`tokens` is zero), is `total`.
Duration ComparableLatency(Duration first_token, Duration total, Tokens tokens);

// Identifies the requests that a row counts. The members stand in the order of
// the fields on the wire.
struct StatsKey {
  // The note in progress that the counts belong to.
  NoteId note;
  PoolId pool;
  VersionId version;
  RouteId route;
  // The generation of the upstream's hardware. Latencies are compared within
  // one generation.
  GenerationId generation;
  // Empty in rows that count several upstreams together.
  UpstreamId upstream;

  bool operator==(const StatsKey&) const = default;

  // Compares the members that differ most often first, because rows are looked
  // up in a map by this order.
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

// Cumulative counts since the note or the router started, whichever is later.
// They never decrease.
struct StatsCounts {
  uint32_t requests = 0;
  uint32_t failures = 0;
  // Requests that did not fail, by latency bucket.
  std::array<uint32_t, kLatencyBuckets> latency{};

  bool operator==(const StatsCounts&) const = default;
};

struct StatsRow {
  StatsKey key;
  StatsCounts counts;

  bool operator==(const StatsRow&) const = default;
};

// One router's counts for pools with a note in progress, as sent to other
// routers. The counts are cumulative, so duplicate, lost and reordered reports
// are harmless.
struct StatsReport {
  RouterId router;
  Incarnation incarnation;
  // Increases with each report of one incarnation.
  uint64_t sequence = 0;
  std::vector<StatsRow> rows;

  bool operator==(const StatsReport&) const = default;
};

// Estimates the encoded size of `report` in bytes, to within 10%.
size_t EstimateReportBytes(const StatsReport& report);

// Counts the replies that one router received, for pools with a note in
// progress only.
class VersionStats {
 public:
  // The number of upstreams of a new version that get rows of their own. Its
  // other upstreams are counted together, and so are all upstreams of the old
  // version. The choice depends only on the upstreams' ids, so all routers
  // choose the same ones.
  static constexpr size_t kMaxNamedUpstreams = 16;
  // The limit on all rows. Requests that would need another row are not
  // counted.
  static constexpr size_t kMaxRows = 512;
  // Every tenth report has all rows, to make up for lost reports.
  static constexpr uint64_t kReportsPerFullReport = 10;

  VersionStats(const RouterId& router, Incarnation incarnation);

  // Counts replies for the pools that have a note in progress in `config`. The
  // rows of a pool are dropped when another note is in progress for it. The
  // rows of pools without a note in progress are kept until the rows reach
  // kMaxRows.
  void OnConfig(const FleetConfig& config);

  // Returns true if requests to `pool` are counted at present.
  bool IsCounting(const PoolId& pool) const;

  // Counts the end of a request that was dispatched to `upstream` as `version`.
  // `failed` is true if the upstream caused a failure; `latency` is a result of
  // ComparableLatency.
  void OnReply(const PoolId& pool,
               const VersionId& version,
               const RouteId& route,
               const UpstreamId& upstream,
               bool failed,
               Duration latency);

  // Makes the next report, of all counted pools. It has the rows that changed
  // since the last report; every kReportsPerFullReport-th report has all rows,
  // to make up for lost reports. A router sends reports to the pool's judges at
  // the interval given by ReportInterval. A report without rows need not be
  // sent.
  StatsReport MakeReport();

  // Makes the next report as above, with the rows of the pools in `wanted`
  // only.
  StatsReport MakeReport(const std::set<PoolId>& wanted);

  // Estimates the encoded size in bytes of the report that MakeReport(wanted)
  // would return.
  size_t NextReportBytes(const std::set<PoolId>& wanted) const;

  // Returns all rows of the counted pools, for this router's own judge.
  StatsReport MakeSnapshot() const;

  // The pools whose requests are counted at present.
  std::set<PoolId> CountedPools() const;

  // Returns the interval at which each of `routers` routers may send a report
  // of `report_bytes` to one receiver, such that it receives at most
  // `bytes_per_second` in all. At least 1 s.
  static Duration ReportInterval(size_t routers,
                                 size_t report_bytes,
                                 double bytes_per_second);

 private:
  struct Pool {
    NoteId note;
    // False while `note` is not in the configuration.
    bool is_counted = false;
    std::map<UpstreamId, GenerationId> generations;
    // The upstreams with rows of their own, sorted by id.
    std::vector<UpstreamId> named;
  };

  // Returns a report with that sequence number and without rows.
  StatsReport MakeEmptyReport(uint64_t sequence) const;

  // Returns the next report without marking its rows as unchanged.
  StatsReport PeekReport(const std::set<PoolId>& wanted) const;

  // Drops the pools that are not counted at present, and their rows.
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

// Returns the routers that judge a pool by the reports of other routers: the
// kJudgesPerPool routers with the highest rendezvous weight for it. In a fleet
// of no more routers than that, all are judges, so that each can judge alone.
inline constexpr size_t kJudgesPerPool = 7;
std::vector<RouterId> JudgesOf(const PoolId& pool,
                               const std::vector<RouterId>& routers);

// Returns the routers that report their counts of a pool to its judges: a
// sample of kReportersPerPool routers, so that the judges' traffic does not
// grow with the fleet, or all routers if there are no more than that.
inline constexpr size_t kReportersPerPool = 50;
std::vector<RouterId> ReportersOf(const PoolId& pool,
                                  const std::vector<RouterId>& routers);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_VERSION_STATS_H_
