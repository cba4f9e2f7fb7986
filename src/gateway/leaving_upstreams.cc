#include "include/gateway/leaving_upstreams.h"

namespace papaya {

bool LeavingUpstreams::Mark(const UpstreamId& id, const std::string& instance) {
  if (Contains(id, instance)) {
    return false;
  }
  marks_[instance] = {.id = id, .removed = {}};
  return true;
}

bool LeavingUpstreams::Contains(const UpstreamId& id,
                                const std::string& instance) const {
  const auto found = marks_.find(instance);
  return found != marks_.end() && found->second.id == id;
}

void LeavingUpstreams::OnRegistered(const UpstreamId& id,
                                    const std::string& instance) {
  const auto found = marks_.find(instance);
  if (found == marks_.end()) {
    return;
  }
  if (found->second.id != id) {
    marks_.erase(found);
    return;
  }
  found->second.removed.reset();
}

void LeavingUpstreams::OnRemoved(const std::string& instance, TimePoint now) {
  const auto found = marks_.find(instance);
  if (found != marks_.end()) {
    found->second.removed = now;
  }
}

void LeavingUpstreams::OnTick(TimePoint now) {
  std::erase_if(marks_, [now](const auto& mark) {
    const std::optional<TimePoint>& removed = mark.second.removed;
    return removed.has_value() && now - *removed >= kMemory;
  });
}

}  // namespace papaya
