#include "src/admission/proven_parts.h"

#include <utility>

namespace papaya {

void ProvenParts::Add(PromptPartId part, TimePoint now) {
  recent_[part] = now;
  if (recent_.size() >= kCapacity / 2) {
    Rotate(now);
  }
}

std::optional<TimePoint> ProvenParts::Find(PromptPartId part) const {
  for (const Times* times : {&recent_, &older_}) {
    const auto found = times->find(part);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void ProvenParts::OnTick(TimePoint now) {
  if (now - rotated_ >= lifetime_) {
    Rotate(now);
  }
}

void ProvenParts::Rotate(TimePoint now) {
  rotated_ = now;
  older_ = std::exchange(recent_, {});
}

}  // namespace papaya
