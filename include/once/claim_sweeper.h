#ifndef INCLUDE_ONCE_CLAIM_SWEEPER_H_
#define INCLUDE_ONCE_CLAIM_SWEEPER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/units.h"
#include "include/config/object_store.h"

namespace papaya {

// Removes claims that routers left in the Object API when they died. Goes
// through the claims a shard at a time, by the first digits of their names, so
// that each list is small and a whole round takes about a day.
class ClaimSweeper {
 public:
  struct Options {
    // As for ClaimCoordinator.
    std::string key_prefix;
    // Claims older than that are removed. Far above the keeper's retention.
    Duration max_age = std::chrono::hours(24);
    // Between two shards.
    Duration interval = std::chrono::seconds(20);
  };

  struct Hooks {
    // True if this router is the one that sweeps. Two at once do no harm.
    std::function<bool()> is_sweeper;
    std::function<WallTime()> wall_now;
  };

  // Digits that name a shard; there are 16 to that power shards.
  static constexpr int kShardDigits = 3;

  // Starts with shard `first_shard` modulo their number. `store` must outlive
  // the sweeper; its callbacks may come later still.
  ClaimSweeper(Options options,
               Hooks hooks,
               ObjectStore* store,
               uint64_t first_shard);

  // Sweeps the next shard if it is time.
  void OnTick(TimePoint now);

 private:
  void OnShardListed(const std::vector<StoredObject>& claims);

  Options options_;
  Hooks hooks_;
  ObjectStore* store_;
  uint64_t next_shard_;
  TimePoint next_sweep_;
  // Expires with the sweeper.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_SWEEPER_H_
