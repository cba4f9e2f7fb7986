#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

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

fb::StatsKey EncodeKey(const StatsKey& key, NameTable* names) {
  const uint16_t note = names->IndexOf(key.note.value());
  const uint16_t pool = names->IndexOf(key.pool.value());
  const uint16_t version = names->IndexOf(key.version.value());
  const uint16_t route = names->IndexOf(key.route.value());
  const uint16_t generation = names->IndexOf(key.generation.value());
  const uint16_t upstream = names->IndexOf(key.upstream.value());
  return fb::StatsKey(note, pool, version, route, generation, upstream);
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

void EncodeBuckets(const StatsCounts& counts,
                   uint16_t row,
                   std::vector<fb::StatsBucket>* buckets) {
  for (size_t i = 0; i < counts.latency.size(); ++i) {
    if (counts.latency[i] > 0) {
      buckets->emplace_back(counts.latency[i], row, static_cast<uint8_t>(i));
    }
  }
}

// False if a bucket belongs to no row, or is none that latencies have.
bool DecodeBuckets(const std::vector<fb::StatsBucket>& buckets,
                   std::vector<StatsRow>* rows) {
  for (const fb::StatsBucket& bucket : buckets) {
    if (bucket.row() >= rows->size() || bucket.bucket() >= kLatencyBuckets) {
      return false;
    }
    (*rows)[bucket.row()].counts.latency[bucket.bucket()] = bucket.count();
  }
  return true;
}

}  // namespace

fb::PayloadUnion EncodeStatsReport(const StatsReport& report) {
  fb::StatsReportT encoded;
  encoded.router = report.router.value();
  encoded.incarnation = report.incarnation.value();
  encoded.sequence = report.sequence;
  NameTable names;
  for (const StatsRow& row : report.rows) {
    const auto index = static_cast<uint16_t>(encoded.counts.size());
    encoded.counts.emplace_back(EncodeKey(row.key, &names), row.counts.requests,
                                row.counts.failures);
    EncodeBuckets(row.counts, index, &encoded.buckets);
  }
  encoded.names = names.Take();
  return MakePayload(std::move(encoded));
}

std::optional<StatsReport> DecodeStatsReport(const fb::PayloadUnion& payload) {
  const fb::StatsReportT* encoded = payload.AsStatsReport();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  StatsReport report{.router = RouterId(encoded->router),
                     .incarnation = Incarnation(encoded->incarnation),
                     .sequence = encoded->sequence};
  for (const fb::StatsRow& one : encoded->counts) {
    if (!IsKeyInRange(one.key(), encoded->names.size())) {
      return std::nullopt;
    }
    StatsRow row{.key = DecodeKey(one.key(), encoded->names)};
    row.counts.requests = one.requests();
    row.counts.failures = one.failures();
    report.rows.push_back(std::move(row));
  }
  if (!DecodeBuckets(encoded->buckets, &report.rows)) {
    return std::nullopt;
  }
  return report;
}

fb::PayloadUnion EncodeMoveApproval(const MoveApproval& approval) {
  fb::MoveApprovalT encoded;
  encoded.service = approval.service.value();
  encoded.target = approval.target.value();
  return MakePayload(std::move(encoded));
}

std::optional<MoveApproval> DecodeMoveApproval(
    const fb::PayloadUnion& payload) {
  const fb::MoveApprovalT* encoded = payload.AsMoveApproval();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  return MoveApproval{.service = PoolId(encoded->service),
                      .target = VersionId(encoded->target)};
}

}  // namespace papaya
