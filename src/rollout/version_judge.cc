#include "include/rollout/version_judge.h"

#include <utility>

#include "src/rollout/pool_judge.h"

namespace papaya {

VersionJudge::VersionJudge(const VersionJudgeOptions& options, StopHook on_stop)
    : options_(options), on_stop_(std::move(on_stop)) {}

VersionJudge::~VersionJudge() = default;

void VersionJudge::OnConfig(const FleetConfig& config) {
  std::map<PoolId, std::unique_ptr<PoolJudge>> pools;
  for (const VersionShare& share : config.shares) {
    if (share.note.empty()) {
      continue;
    }
    std::unique_ptr<PoolJudge>& judge = pools[share.pool];
    const auto known = pools_.find(share.pool);
    if (known != pools_.end() && known->second != nullptr &&
        known->second->IsFor(share.note, share.version)) {
      judge = std::move(known->second);
    } else {
      judge = std::make_unique<PoolJudge>(options_, share.note, share.pool,
                                          share.version);
    }
    judge->OnConfig(config);
  }
  pools_ = std::move(pools);
}

void VersionJudge::OnReport(const StatsReport& report) {
  for (const StatsRow& row : report.rows) {
    const auto found = pools_.find(row.key.pool);
    if (found != pools_.end()) {
      found->second->OnRow(report.router, report.incarnation, row);
    }
  }
}

void VersionJudge::OnTick(TimePoint now) {
  if (last_evaluation_ &&
      now - *last_evaluation_ < options_.evaluation_interval) {
    return;
  }
  last_evaluation_ = now;
  std::vector<StopFact> found;
  for (const auto& [pool, judge] : pools_) {
    judge->Evaluate(now, &found);
  }
  // Called after the loop because the hook may call OnConfig, which changes
  // `pools_`.
  for (const StopFact& fact : found) {
    on_stop_(fact);
  }
}

std::vector<VersionEvidence> VersionJudge::Evidence() const {
  std::vector<VersionEvidence> evidence;
  for (const auto& [pool, judge] : pools_) {
    evidence.push_back(judge->Evidence());
  }
  return evidence;
}

size_t VersionJudge::ApproximateBytes() const {
  size_t bytes = sizeof(*this);
  for (const auto& [pool, judge] : pools_) {
    bytes += judge->ApproximateBytes();
  }
  return bytes;
}

}  // namespace papaya
