#include "include/admission/demand_notice.h"

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Rounds up, so that pending prefill never becomes zero.
Tokens RoundUp(Tokens tokens) {
  const int64_t step = kPrefillGranularity.value();
  return Tokens((tokens.value() + step - 1) / step * step);
}

}  // namespace

NameHash HashName(const UpstreamId& upstream) {
  return NameHash(static_cast<uint32_t>(StableHash(upstream.value())));
}

NameHash HashName(const PoolVersion& group) {
  return NameHash(static_cast<uint32_t>(CombineHashes(
      StableHash(group.pool.value()), StableHash(group.version.value()))));
}

DemandNotice MakeDemandNotice(const DemandReport& report) {
  DemandNotice notice{.incarnation = report.incarnation,
                      .sequence = report.sequence};
  for (const GroupDemand& demand : report.groups) {
    notice.groups.push_back({.group = HashName(demand.group),
                             .tiers = demand.tiers,
                             .short_tier = demand.short_tier});
  }
  for (const UpstreamUse& use : report.upstreams) {
    notice.upstreams.push_back({.upstream = HashName(use.upstream),
                                .running = use.running,
                                .pending_prefill = RoundUp(use.pending_prefill),
                                .ejected = use.ejected,
                                .leaving = use.leaving});
  }
  return notice;
}

}  // namespace papaya
