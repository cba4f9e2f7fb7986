#include "include/once/claim_sweeper.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "src/once/claim_record.h"

namespace papaya {

namespace {

constexpr uint64_t kShardCount = uint64_t{1}
                                 << (4 * ClaimSweeper::kShardDigits);

}  // namespace

ClaimSweeper::ClaimSweeper(Options options,
                           Hooks hooks,
                           ObjectStore* store,
                           uint64_t first_shard)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      store_(store),
      next_shard_(first_shard % kShardCount) {}

void ClaimSweeper::OnTick(TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + options_.interval;
  if (!hooks_.is_sweeper()) {
    return;
  }
  const std::string prefix = absl::StrFormat(
      "%sclaims/%0*x", options_.key_prefix, kShardDigits, next_shard_);
  next_shard_ = (next_shard_ + 1) % kShardCount;
  store_->List(prefix,
               [this, alive = std::weak_ptr<bool>(alive_)](
                   const absl::StatusOr<std::vector<StoredObject>>& claims) {
                 if (!alive.expired() && claims.ok()) {
                   OnShardListed(*claims);
                 }
               });
}

void ClaimSweeper::OnShardListed(const std::vector<StoredObject>& claims) {
  const WallTime now = hooks_.wall_now();
  for (const StoredObject& claim : claims) {
    const absl::StatusOr<ClaimRecord> record = DecodeClaimRecord(claim.value);
    if (!record.ok() || now - record->claimed_at < options_.max_age) {
      continue;
    }
    const ConditionalWrite removal{.key = claim.key,
                                   .expected = claim.version,
                                   .operation = OperationId(absl::StrCat(
                                       claim.operation.value(), "/sweep"))};
    store_->Put(removal, [](const absl::StatusOr<ObjectVersion>&) {});
  }
}

}  // namespace papaya
