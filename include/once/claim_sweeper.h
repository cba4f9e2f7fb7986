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

// Removes claims that dead routers left behind in the Object API. Each step
// lists one shard, the claims whose names start with the same digits, so that
// each list is small. A pass over all shards takes about a day.
class ClaimSweeper {
 public:
  struct Options {
    // Same as ClaimCoordinator::Options::key_prefix.
    std::string key_prefix;
    // Claims older than this are removed. Far above
    // ClaimCoordinator::Options::retention, after which a living router removes
    // its own claims.
    Duration max_age = std::chrono::hours(24);
    // Time between two shards.
    Duration interval = std::chrono::seconds(20);
  };

  struct Hooks {
    // True if this router is the one that sweeps. Several routers sweeping at
    // once is harmless, because removals are conditional on the claim's
    // version.
    std::function<bool()> is_sweeper;
    std::function<WallTime()> wall_now;
  };

  // Number of hexadecimal digits that select a shard; there are 16^kShardDigits
  // shards.
  static constexpr int kShardDigits = 3;

  // Starts with shard `first_shard` modulo the number of shards. `store` must
  // outlive the sweeper. Its callbacks may run after the sweeper was destroyed;
  // they then do nothing.
  ClaimSweeper(Options options,
               Hooks hooks,
               ObjectStore* store,
               uint64_t first_shard);

  // Sweeps the next shard if `interval` has elapsed since the last one.
  void OnTick(TimePoint now);

 private:
  void OnShardListed(const std::vector<StoredObject>& claims);

  Options options_;
  Hooks hooks_;
  ObjectStore* store_;
  uint64_t next_shard_;
  TimePoint next_sweep_;
  // Destroyed with the sweeper; callbacks hold weak pointers to it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_SWEEPER_H_
