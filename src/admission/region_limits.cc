#include "src/admission/region_limits.h"

namespace papaya {

namespace {

bool HasAllowedUpstream(const RoutingSnapshot& snapshot,
                        const VersionGroup& group,
                        const RequestSpec& spec) {
  return std::any_of(group.upstreams.begin(), group.upstreams.end(),
                     [&snapshot, &spec](UpstreamIndex index) {
                       return MayReachRegion(
                           spec, snapshot.upstream(index).spec.region);
                     });
}

}  // namespace

std::optional<GroupIndex> ChooseAllowedGroup(const RoutingSnapshot& snapshot,
                                             const RequestSpec& spec) {
  const std::optional<PoolIndex> pool = snapshot.FindPool(spec.pool);
  if (!pool.has_value()) {
    return std::nullopt;
  }
  const std::optional<GroupIndex> chosen =
      snapshot.ChooseGroup(*pool, spec.share_hash);
  if (spec.allowed_regions == nullptr || !chosen.has_value() ||
      HasAllowedUpstream(snapshot, snapshot.group(*chosen), spec)) {
    return chosen;
  }
  std::optional<GroupIndex> largest;
  for (size_t i = 0; i < snapshot.groups().size(); ++i) {
    const VersionGroup& group = snapshot.groups()[i];
    const bool is_larger =
        !largest.has_value() || group.share > snapshot.group(*largest).share;
    if (group.pool == *pool && group.usable && is_larger &&
        HasAllowedUpstream(snapshot, group, spec)) {
      largest = GroupIndex(static_cast<int32_t>(i));
    }
  }
  return largest;
}

RejectionReason NoUpstreamReason(const RoutingSnapshot* snapshot,
                                 const RequestSpec& spec) {
  if (snapshot == nullptr) {
    return RejectionReason::kNoUpstream;
  }
  const std::vector<const UpstreamSpec*>& returning = snapshot->returning();
  if (std::any_of(returning.begin(), returning.end(),
                  [&spec](const UpstreamSpec* upstream) {
                    return upstream->pool == spec.pool &&
                           MayReachRegion(spec, upstream->region);
                  })) {
    return RejectionReason::kZonesEvacuated;
  }
  const std::optional<PoolIndex> pool = snapshot->FindPool(spec.pool);
  const bool is_limited =
      spec.allowed_regions != nullptr && pool.has_value() &&
      snapshot->ChooseGroup(*pool, spec.share_hash).has_value();
  return is_limited ? RejectionReason::kNoAllowedRegion
                    : RejectionReason::kNoUpstream;
}

bool SetAsideRequests::IsFull(const RequestEntry& entry) const {
  return entry.spec.allowed_regions != nullptr &&
         std::any_of(entries_.begin(), entries_.end(),
                     [&entry](const RequestEntry* other) {
                       return *other->spec.allowed_regions ==
                              *entry.spec.allowed_regions;
                     });
}

bool SetAsideRequests::Take(RequestEntry* entry, GroupState* group) {
  if (entry->spec.allowed_regions == nullptr ||
      entries_.size() == kMaxRequests) {
    return false;
  }
  group->Remove(entry);
  entries_.push_back(entry);
  return true;
}

void SetAsideRequests::PutBack(GroupState* group) {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    group->Enqueue(*entry, /*at_front=*/true);
  }
}

}  // namespace papaya
