#include "include/rollout/version_stats.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// A stream counts its first token and so many tokens at its own pace.
constexpr double kComparedTokens = 64.0;
// Envelope of one report: names of router and table, numbers.
constexpr size_t kReportOverheadBytes = 64;
// A row's six string indexes, and its length.
constexpr size_t kRowOverheadBytes = 8;
// A string in the report's table, besides its characters.
constexpr size_t kStringOverheadBytes = 2;

size_t VarintBytes(uint64_t value) {
  size_t bytes = 1;
  for (; value >= 0x80; value >>= 7) {
    ++bytes;
  }
  return bytes;
}

size_t RowBytes(const StatsRow& row) {
  size_t bytes = kRowOverheadBytes + VarintBytes(row.counts.requests) +
                 VarintBytes(row.counts.failures);
  for (const uint32_t count : row.counts.latency) {
    bytes += count == 0 ? 0 : 1 + VarintBytes(count);
  }
  return bytes;
}

bool ByHash(const UpstreamId& a, const UpstreamId& b) {
  const uint64_t hash_a = StableHash(a.value());
  const uint64_t hash_b = StableHash(b.value());
  return std::tie(hash_a, a) < std::tie(hash_b, b);
}

// The upstreams of `pool` that have rows of their own: some of each version.
std::vector<UpstreamId> NamedUpstreams(const FleetConfig& config,
                                       const PoolId& pool) {
  std::map<VersionId, std::vector<UpstreamId>> by_version;
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool == pool) {
      by_version[upstream.version].push_back(upstream.id);
    }
  }
  std::vector<UpstreamId> named;
  for (auto& [version, ids] : by_version) {
    std::sort(ids.begin(), ids.end(), &ByHash);
    ids.resize(std::min(ids.size(), VersionStats::kNamedUpstreams));
    named.insert(named.end(), ids.begin(), ids.end());
  }
  std::sort(named.begin(), named.end());
  return named;
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
                           Duration whole,
                           Tokens tokens) {
  if (tokens.value() < 2) {
    return whole;
  }
  const double pace =
      ToSeconds(whole - first_token) / static_cast<double>(tokens.value() - 1);
  return first_token + SecondsToDuration(pace * kComparedTokens);
}

size_t EstimateReportBytes(const StatsReport& report) {
  std::set<std::string> strings;
  size_t bytes = kReportOverheadBytes;
  for (const StatsRow& row : report.rows) {
    bytes += RowBytes(row);
    strings.insert({row.key.note.value(), row.key.pool.value(),
                    row.key.version.value(), row.key.generation.value(),
                    row.key.route.value(), row.key.upstream.value()});
  }
  for (const std::string& text : strings) {
    bytes += text.size() + kStringOverheadBytes;
  }
  return bytes;
}

VersionStats::VersionStats(const RouterId& router, Incarnation incarnation)
    : router_(router), incarnation_(incarnation) {}

void VersionStats::OnConfig(const FleetConfig& config) {
  for (auto& [id, pool] : pools_) {
    pool.is_moving = false;
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
    pool.is_moving = true;
    pool.named = NamedUpstreams(config, share.pool);
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
  return found != pools_.end() && found->second.is_moving;
}

void VersionStats::DropIdleRows() {
  std::erase_if(
      rows_, [this](const auto& row) { return !IsCounting(row.first.pool); });
  std::erase_if(pools_,
                [](const auto& entry) { return !entry.second.is_moving; });
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
    return;  // not of this configuration any more
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

StatsReport VersionStats::MakeReport() {
  StatsReport report;
  report.router = router_;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  const bool is_whole = sequence_ % kWholeReportEvery == 0;
  for (auto& [key, row] : rows_) {
    if ((row.is_changed || is_whole) && IsCounting(key.pool)) {
      report.rows.push_back({key, row.counts});
      row.is_changed = false;
    }
  }
  return report;
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
  std::vector<std::pair<uint64_t, RouterId>> weighted;
  weighted.reserve(routers.size());
  for (const RouterId& router : routers) {
    weighted.emplace_back(StableHash(router.value(), StableHash(pool.value())),
                          router);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  weighted.resize(std::min(weighted.size(), kJudgesPerPool));
  std::vector<RouterId> judges;
  judges.reserve(weighted.size());
  for (const auto& [weight, router] : weighted) {
    judges.push_back(router);
  }
  return judges;
}

}  // namespace papaya
