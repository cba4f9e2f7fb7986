#ifndef SRC_CONFIG_CONFIG_HISTORY_H_
#define SRC_CONFIG_CONFIG_HISTORY_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "include/base/ids.h"
#include "include/config/config_messages.h"

namespace papaya {

// The last deltas that led to the revision held, bounded in number and bytes.
class ConfigHistory {
 public:
  static constexpr size_t kMaxDeltas = 64;
  static constexpr size_t kMaxBytes = 256 * 1024;

  // Adds the delta that led to a new revision. One that does not start where
  // the last one ended makes the older ones useless; they are dropped.
  void Add(ConfigDelta delta);

  // The deltas that lead from `base` to the revision held; empty if they are
  // not all there.
  std::vector<ConfigDelta> Find(Revision base, uint64_t base_hash) const;

 private:
  struct Step {
    ConfigDelta delta;
    size_t bytes = 0;
  };

  void DropFirst();

  std::deque<Step> steps_;
  size_t bytes_ = 0;
};

}  // namespace papaya

#endif  // SRC_CONFIG_CONFIG_HISTORY_H_
