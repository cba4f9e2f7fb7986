#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <utility>

#include "include/admission/demand_packing.h"
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

fb::PayloadUnion EncodeDemandNotice(const DemandNotice& notice) {
  const std::string packed = PackDemand(notice);
  fb::DemandReportT encoded;
  encoded.packed.assign(packed.begin(), packed.end());
  fb::PayloadUnion payload;
  payload.Set(std::move(encoded));
  return payload;
}

std::optional<DemandNotice> DecodeDemandNotice(
    const fb::PayloadUnion& payload) {
  const fb::DemandReportT* encoded = payload.AsDemandReport();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  // A router of an earlier release: its connection stays, without content.
  if (encoded->packed.empty()) {
    return DemandNotice();
  }
  return UnpackDemand({encoded->packed.begin(), encoded->packed.end()});
}

}  // namespace papaya
