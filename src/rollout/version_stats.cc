#include "include/rollout/version_stats.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "include/base/encoded_size.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr uint64_t kJudgeSalt = 0;
constexpr uint64_t kReporterSalt = 1;
// Encoded sizes, in bytes. The root, message table, identifier, numbers and
// empty name of a report.
constexpr size_t kReportBaseBytes = 76;
// The number of vectors: names, rows and buckets.
constexpr size_t kReportVectors = 3;
// The key and counts of a row, and one latency bucket that is not zero.
constexpr size_t kRowBaseBytes = 20;
constexpr size_t kBucketBytes = 8;

size_t RowBytes(const StatsRow& row) {
  const auto filled =
      std::count_if(row.counts.latency.begin(), row.counts.latency.end(),
                    [](uint32_t count) { return count > 0; });
  return kRowBaseBytes + kBucketBytes * static_cast<size_t>(filled);
}

bool LessByHash(const UpstreamId& a, const UpstreamId& b) {
  const uint64_t hash_a = StableHash(a.value());
  const uint64_t hash_b = StableHash(b.value());
  return std::tie(hash_a, a) < std::tie(hash_b, b);
}

// Returns the upstreams of `version` that get rows of their own, sorted by id.
std::vector<UpstreamId> ChooseNamedUpstreams(const FleetConfig& config,
                                             const PoolId& pool,
                                             const VersionId& version) {
  std::vector<UpstreamId> named;
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool == pool && upstream.version == version) {
      named.push_back(upstream.id);
    }
  }
  std::sort(named.begin(), named.end(), &LessByHash);
  named.resize(std::min(named.size(), VersionStats::kMaxNamedUpstreams));
  std::sort(named.begin(), named.end());
  return named;
}

// Returns the `count` routers with the highest rendezvous weight for `pool`.
std::vector<RouterId> ChooseByRendezvous(const PoolId& pool,
                                         const std::vector<RouterId>& routers,
                                         uint64_t salt,
                                         size_t count) {
  const uint64_t seed = StableHash(pool.value(), salt);
  std::vector<std::pair<uint64_t, RouterId>> weighted;
  weighted.reserve(routers.size());
  for (const RouterId& router : routers) {
    weighted.emplace_back(StableHash(router.value(), seed), router);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  weighted.resize(std::min(weighted.size(), count));
  std::vector<RouterId> chosen;
  chosen.reserve(weighted.size());
  for (const auto& [weight, router] : weighted) {
    chosen.push_back(router);
  }
  return chosen;
}

}  // namespace

size_t LatencyBucket(Duration latency) {
  if (latency <= kLatencyFloor) {
    return 0;
  }
  const double ratio = ToSeconds(latency) / ToSeconds(kLatencyFloor);
  const double bucket = std::log(ratio) / std::log(kLatencyBucketRatio);
  return std::min(kLatencyBuckets - 1, static_cast<size_t>(bucket) + 1);
}

Duration ComparableLatency(Duration first_token,
                           Duration total,
                           Tokens tokens) {
  if (tokens.value() < 2) {
    return total;
  }
  const double seconds_per_token =
      ToSeconds(total - first_token) / static_cast<double>(tokens.value() - 1);
  return first_token +
         SecondsToDuration(seconds_per_token *
                           static_cast<double>(kComparedTokens.value()));
}

size_t EstimateReportBytes(const StatsReport& report) {
  std::set<std::string> strings;
  size_t bytes = kReportBaseBytes + kReportVectors * kVectorBytes +
                 EncodedStringBytes(report.router.value());
  for (const StatsRow& row : report.rows) {
    bytes += RowBytes(row);
    strings.insert({row.key.note.value(), row.key.pool.value(),
                    row.key.version.value(), row.key.generation.value(),
                    row.key.route.value(), row.key.upstream.value()});
  }
  for (const std::string& text : strings) {
    bytes += EncodedStringBytes(text);
  }
  return bytes;
}

VersionStats::VersionStats(const RouterId& router, Incarnation incarnation)
    : router_(router), incarnation_(incarnation) {}

void VersionStats::OnConfig(const FleetConfig& config) {
  for (auto& [id, pool] : pools_) {
    pool.is_counted = false;
  }
  for (const VersionShare& share : config.shares) {
    if (share.note.empty()) {
      continue;
    }
    Pool& pool = pools_[share.pool];
    if (pool.note != share.note) {
      std::erase_if(rows_, [&share](const auto& row) {
        return row.first.pool == share.pool;
      });
    }
    pool.note = share.note;
    pool.is_counted = true;
    pool.named = ChooseNamedUpstreams(config, share.pool, share.version);
    pool.generations.clear();
    for (const UpstreamSpec& upstream : config.upstreams) {
      if (upstream.pool == share.pool) {
        pool.generations[upstream.id] = upstream.generation;
      }
    }
  }
}

bool VersionStats::IsCounting(const PoolId& pool) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && found->second.is_counted;
}

void VersionStats::DropIdleRows() {
  std::erase_if(
      rows_, [this](const auto& row) { return !IsCounting(row.first.pool); });
  std::erase_if(pools_,
                [](const auto& entry) { return !entry.second.is_counted; });
}

void VersionStats::OnReply(const PoolId& pool,
                           const VersionId& version,
                           const RouteId& route,
                           const UpstreamId& upstream,
                           bool failed,
                           Duration latency) {
  if (!IsCounting(pool)) {
    return;
  }
  const Pool& counted = pools_.at(pool);
  const auto generation = counted.generations.find(upstream);
  if (generation == counted.generations.end()) {
    return;  // removed from the configuration since the dispatch
  }
  const bool is_named =
      std::binary_search(counted.named.begin(), counted.named.end(), upstream);
  const StatsKey key = {counted.note,
                        pool,
                        version,
                        route,
                        generation->second,
                        is_named ? upstream : UpstreamId()};
  if (rows_.size() >= kMaxRows && !rows_.contains(key)) {
    DropIdleRows();
    if (rows_.size() >= kMaxRows) {
      return;
    }
  }
  Row& row = rows_[key];
  row.is_changed = true;
  StatsCounts& counts = row.counts;
  ++counts.requests;
  if (failed) {
    ++counts.failures;
  } else {
    ++counts.latency[LatencyBucket(latency)];
  }
}

StatsReport VersionStats::MakeEmptyReport(uint64_t sequence) const {
  StatsReport report;
  report.router = router_;
  report.incarnation = incarnation_;
  report.sequence = sequence;
  return report;
}

StatsReport VersionStats::PeekReport(const std::set<PoolId>& wanted) const {
  StatsReport report = MakeEmptyReport(sequence_ + 1);
  const bool is_full = report.sequence % kReportsPerFullReport == 0;
  for (const auto& [key, row] : rows_) {
    if ((row.is_changed || is_full) && wanted.contains(key.pool)) {
      report.rows.push_back({key, row.counts});
    }
  }
  return report;
}

size_t VersionStats::NextReportBytes(const std::set<PoolId>& wanted) const {
  return EstimateReportBytes(PeekReport(wanted));
}

StatsReport VersionStats::MakeReport() {
  return MakeReport(CountedPools());
}

StatsReport VersionStats::MakeReport(const std::set<PoolId>& wanted) {
  StatsReport report = PeekReport(wanted);
  ++sequence_;
  for (const StatsRow& row : report.rows) {
    rows_.at(row.key).is_changed = false;
  }
  return report;
}

StatsReport VersionStats::MakeSnapshot() const {
  StatsReport report = MakeEmptyReport(sequence_);
  for (const auto& [key, row] : rows_) {
    if (IsCounting(key.pool)) {
      report.rows.push_back({key, row.counts});
    }
  }
  return report;
}

std::set<PoolId> VersionStats::CountedPools() const {
  std::set<PoolId> counted;
  for (const auto& [id, pool] : pools_) {
    if (pool.is_counted) {
      counted.insert(id);
    }
  }
  return counted;
}

Duration VersionStats::ReportInterval(size_t routers,
                                      size_t report_bytes,
                                      double bytes_per_second) {
  const double received = static_cast<double>(routers * report_bytes);
  return std::max<Duration>(std::chrono::seconds(1),
                            SecondsToDuration(received / bytes_per_second));
}

std::vector<RouterId> JudgesOf(const PoolId& pool,
                               const std::vector<RouterId>& routers) {
  return ChooseByRendezvous(pool, routers, kJudgeSalt, kJudgesPerPool);
}

std::vector<RouterId> ReportersOf(const PoolId& pool,
                                  const std::vector<RouterId>& routers) {
  return ChooseByRendezvous(pool, routers, kReporterSalt, kReportersPerPool);
}

}  // namespace papaya
