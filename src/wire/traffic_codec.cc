#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

// Strings of one report, each held once.
class NameTable {
 public:
  uint16_t IndexOf(const std::string& name) {
    const auto [found, is_new] =
        indexes_.try_emplace(name, static_cast<uint16_t>(names_.size()));
    if (is_new) {
      names_.push_back(name);
    }
    return found->second;
  }

  std::vector<std::string> Take() { return std::move(names_); }

 private:
  std::map<std::string, uint16_t> indexes_;
  std::vector<std::string> names_;
};

// The buckets up to the last one that counts anything.
std::vector<uint32_t> TrimBuckets(
    const std::array<uint32_t, kLatencyBuckets>& buckets) {
  size_t size = buckets.size();
  while (size > 0 && buckets[size - 1] == 0) {
    --size;
  }
  return {buckets.begin(), buckets.begin() + static_cast<int64_t>(size)};
}

bool IsKeyInRange(const fb::StatsKey& key, size_t names) {
  return std::max({key.note(), key.pool(), key.version(), key.route(),
                   key.generation(), key.upstream()}) < names;
}

StatsKey DecodeKey(const fb::StatsKey& key,
                   const std::vector<std::string>& names) {
  return {.note = NoteId(names[key.note()]),
          .pool = PoolId(names[key.pool()]),
          .version = VersionId(names[key.version()]),
          .route = RouteId(names[key.route()]),
          .generation = GenerationId(names[key.generation()]),
          .upstream = UpstreamId(names[key.upstream()])};
}

std::unique_ptr<fb::GroupDemandT> EncodeGroup(const GroupDemand& group) {
  auto encoded = std::make_unique<fb::GroupDemandT>();
  encoded->pool = group.group.pool.value();
  encoded->version = group.group.version.value();
  for (const TierDemand& tier : group.tiers) {
    encoded->tiers.emplace_back(tier.running, tier.waiting);
  }
  if (group.short_tier.has_value()) {
    encoded->short_tier = static_cast<int8_t>(TierIndex(*group.short_tier));
  }
  return encoded;
}

std::optional<GroupDemand> DecodeGroup(const fb::GroupDemandT& encoded) {
  if (encoded.tiers.size() != kTierCount ||
      encoded.short_tier >= static_cast<int>(kTierCount)) {
    return std::nullopt;
  }
  GroupDemand group{.group = {.pool = PoolId(encoded.pool),
                              .version = VersionId(encoded.version)}};
  for (size_t i = 0; i < kTierCount; ++i) {
    group.tiers[i] = {.running = encoded.tiers[i].running(),
                      .waiting = encoded.tiers[i].waiting()};
  }
  if (encoded.short_tier >= 0) {
    group.short_tier = static_cast<Tier>(encoded.short_tier);
  }
  return group;
}

}  // namespace

fb::PayloadUnion EncodeStatsReport(const StatsReport& report) {
  fb::StatsReportT encoded;
  encoded.router = report.router.value();
  encoded.incarnation = report.incarnation.value();
  encoded.sequence = report.sequence;
  NameTable names;
  for (const StatsRow& row : report.rows) {
    auto one = std::make_unique<fb::StatsRowT>();
    one->key = std::make_unique<fb::StatsKey>(
        names.IndexOf(row.key.note.value()),
        names.IndexOf(row.key.pool.value()),
        names.IndexOf(row.key.version.value()),
        names.IndexOf(row.key.route.value()),
        names.IndexOf(row.key.generation.value()),
        names.IndexOf(row.key.upstream.value()));
    one->requests = row.counts.requests;
    one->failures = row.counts.failures;
    one->latency = TrimBuckets(row.counts.latency);
    encoded.rows.push_back(std::move(one));
  }
  encoded.names = names.Take();
  fb::PayloadUnion payload;
  payload.Set(std::move(encoded));
  return payload;
}

std::optional<StatsReport> DecodeStatsReport(const fb::PayloadUnion& payload) {
  const fb::StatsReportT* encoded = payload.AsStatsReport();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  StatsReport report{.router = RouterId(encoded->router),
                     .incarnation = Incarnation(encoded->incarnation),
                     .sequence = encoded->sequence};
  for (const auto& one : encoded->rows) {
    const bool is_good = one->key != nullptr &&
                         IsKeyInRange(*one->key, encoded->names.size()) &&
                         one->latency.size() <= kLatencyBuckets;
    if (!is_good) {
      return std::nullopt;
    }
    StatsRow row{.key = DecodeKey(*one->key, encoded->names)};
    row.counts.requests = one->requests;
    row.counts.failures = one->failures;
    std::copy(one->latency.begin(), one->latency.end(),
              row.counts.latency.begin());
    report.rows.push_back(std::move(row));
  }
  return report;
}

fb::PayloadUnion EncodeDemandReport(const DemandReport& report) {
  fb::DemandReportT encoded;
  encoded.router = report.router.value();
  encoded.incarnation = report.incarnation.value();
  encoded.sequence = report.sequence;
  for (const GroupDemand& group : report.groups) {
    encoded.groups.push_back(EncodeGroup(group));
  }
  for (const UpstreamUse& use : report.upstreams) {
    auto one = std::make_unique<fb::UpstreamUseT>();
    one->upstream = use.upstream.value();
    one->running = use.running;
    one->pending_prefill = use.pending_prefill.value();
    one->set_aside = use.set_aside;
    one->leaving = use.leaving;
    encoded.upstreams.push_back(std::move(one));
  }
  fb::PayloadUnion payload;
  payload.Set(std::move(encoded));
  return payload;
}

std::optional<DemandReport> DecodeDemandReport(
    const fb::PayloadUnion& payload) {
  const fb::DemandReportT* encoded = payload.AsDemandReport();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  DemandReport report{.router = RouterId(encoded->router),
                      .incarnation = Incarnation(encoded->incarnation),
                      .sequence = encoded->sequence};
  for (const auto& one : encoded->groups) {
    std::optional<GroupDemand> group = DecodeGroup(*one);
    if (!group.has_value()) {
      return std::nullopt;
    }
    report.groups.push_back(std::move(*group));
  }
  for (const auto& one : encoded->upstreams) {
    report.upstreams.push_back({.upstream = UpstreamId(one->upstream),
                                .running = one->running,
                                .pending_prefill = Tokens(one->pending_prefill),
                                .set_aside = one->set_aside,
                                .leaving = one->leaving});
  }
  return report;
}

}  // namespace papaya
