#ifndef TESTS_FAKES_FAKE_ROLLOUT_ENGINE_H_
#define TESTS_FAKES_FAKE_ROLLOUT_ENGINE_H_

#include <algorithm>
#include <map>

#include "absl/status/status.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/engine_order.h"

namespace papaya {

// A fake engine that executes orders and reports its state.
struct FakeEngine {
  EngineState state;
  bool checks_fencing = true;
  bool is_alive = true;
  std::map<VersionId, TimePoint> loads_ready;

  // Executes an order that arrives at `now`; a load takes `load`.
  absl::Status Take(const EngineOrder& order, TimePoint now, Duration load) {
    if (checks_fencing && order.fencing < state.fencing) {
      return absl::AbortedError("old fencing number");
    }
    state.fencing = checks_fencing ? order.fencing : FencingNumber(0);
    const VersionId version(order.argument);
    const bool has = HasLoaded(version);
    switch (order.action) {
      case OrderAction::kLoadVersion:
        if (!has && !loads_ready.contains(version)) {
          loads_ready[version] = now + load;
          state.loading.push_back(version);
        }
        break;
      case OrderAction::kActivateVersion:
        if (!has) {
          return absl::FailedPreconditionError("not loaded");
        }
        state.active = version;
        break;
      case OrderAction::kUnloadVersion:
        if (state.active != version) {
          std::erase(state.loaded, version);
        }
        break;
      case OrderAction::kLoadAdapter:
        state.adapters.push_back(order.argument);
        break;
      case OrderAction::kSetRole:
        state.role = order.argument;
        break;
    }
    return absl::OkStatus();
  }

  bool HasLoaded(const VersionId& version) const {
    return std::find(state.loaded.begin(), state.loaded.end(), version) !=
           state.loaded.end();
  }

  void FinishLoads(TimePoint now) {
    std::erase_if(loads_ready, [this, now](const auto& load) {
      if (load.second > now) {
        return false;
      }
      std::erase(state.loading, load.first);
      state.loaded.push_back(load.first);
      return true;
    });
  }
};

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_ROLLOUT_ENGINE_H_
