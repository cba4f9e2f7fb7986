#include "src/gateway/store_probe.h"

#include <utility>

namespace papaya {

StoreProbe::StoreProbe(PlatformStore* store, std::string kind, Hooks hooks)
    : store_(store), kind_(std::move(kind)), hooks_(std::move(hooks)) {}

void StoreProbe::OnTick(TimePoint now, bool is_active) {
  if (is_calling_ && now - sent_ >= kSilenceLimit) {
    is_calling_ = false;
    if (is_active) {
      hooks_.silent(now);
    }
  }
  if (!is_active || is_calling_ || now < next_call_) {
    return;
  }
  is_calling_ = true;
  ++call_;
  sent_ = now;
  next_call_ = now + kInterval;
  store_->ListStale(
      kind_, "",
      [this, now, call = call_, alive = std::weak_ptr<bool>(is_alive_)](
          const absl::StatusOr<ObjectBatch>& batch) {
        if (alive.expired() || call != call_) {
          return;
        }
        is_calling_ = false;
        if (batch.ok()) {
          hooks_.alive(now);
        }
      });
}

}  // namespace papaya
