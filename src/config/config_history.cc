#include "src/config/config_history.h"

#include <algorithm>
#include <utility>

namespace papaya {

void ConfigHistory::Add(ConfigDelta delta) {
  const bool is_next =
      steps_.empty() || (steps_.back().delta.revision == delta.base &&
                         steps_.back().delta.result_hash == delta.base_hash);
  if (!is_next) {
    steps_.clear();
    bytes_ = 0;
  }
  Step step{.delta = std::move(delta)};
  step.bytes = EncodedSize(ConfigDeltas{.deltas = {step.delta}});
  bytes_ += step.bytes;
  steps_.push_back(std::move(step));
  while (steps_.size() > kMaxDeltas || bytes_ > kMaxBytes) {
    DropFirst();
  }
}

std::vector<ConfigDelta> ConfigHistory::Find(Revision base,
                                             uint64_t base_hash) const {
  const auto start =
      std::find_if(steps_.begin(), steps_.end(), [&](const Step& step) {
        return step.delta.base == base && step.delta.base_hash == base_hash;
      });
  std::vector<ConfigDelta> deltas;
  for (auto step = start; step != steps_.end(); ++step) {
    deltas.push_back(step->delta);
  }
  return deltas;
}

void ConfigHistory::DropFirst() {
  bytes_ -= steps_.front().bytes;
  steps_.pop_front();
}

}  // namespace papaya
