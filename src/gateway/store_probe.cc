#include "src/gateway/store_probe.h"

#include <utility>

namespace papaya {

StoreProbe::StoreProbe(PlatformStore* store,
                       std::string kind,
                       std::function<void(TimePoint sent)> alive)
    : store_(store), kind_(std::move(kind)), alive_(std::move(alive)) {}

void StoreProbe::OnTick(TimePoint now, bool is_active) {
  if (!is_active || is_calling_ || now < next_call_) {
    return;
  }
  is_calling_ = true;
  next_call_ = now + kInterval;
  store_->ListStale(kind_, "",
                    [this, now, alive = std::weak_ptr<bool>(is_alive_)](
                        const absl::StatusOr<ObjectBatch>& batch) {
                      if (alive.expired()) {
                        return;
                      }
                      is_calling_ = false;
                      if (batch.ok()) {
                        alive_(now);
                      }
                    });
}

}  // namespace papaya
