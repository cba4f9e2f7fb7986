#include "include/standin/version_manager.h"

#include <algorithm>

namespace papaya {

VersionManager::VersionManager(const Options& options)
    : load_time_(options.load_time),
      concurrent_loads_(options.concurrent_loads),
      checks_fencing_(options.checks_fencing),
      active_(options.version),
      loaded_({options.version}) {}

OrderResult VersionManager::Order(const StandinOrder& order, TimePoint now) {
  Advance(now);
  if (checks_fencing_ && order.fencing < fencing_) {
    return OrderResult::kStaleFencing;
  }
  fencing_ = std::max(fencing_, order.fencing);
  if (std::find(orders_.begin(), orders_.end(), order.id) != orders_.end()) {
    return OrderResult::kDone;
  }
  const OrderResult result = Execute(order, now);
  if (result == OrderResult::kDone) {
    orders_.push_back(order.id);
    if (orders_.size() > kMaxOrders) {
      orders_.erase(orders_.begin());
    }
  }
  return result;
}

OrderResult VersionManager::Execute(const StandinOrder& order, TimePoint now) {
  if (order.action == "load_version") {
    return Load(VersionId(order.argument), now);
  }
  if (order.action == "activate_version") {
    return Activate(VersionId(order.argument));
  }
  if (order.action == "unload_version") {
    return Unload(VersionId(order.argument));
  }
  if (order.action == "load_adapter") {
    adapters_.insert(order.argument);
    return OrderResult::kDone;
  }
  if (order.action == "set_role") {
    role_ = order.argument;
    return OrderResult::kDone;
  }
  return OrderResult::kRejected;
}

OrderResult VersionManager::Load(const VersionId& version, TimePoint now) {
  if (loaded_.contains(version) || loading_.contains(version)) {
    return OrderResult::kDone;
  }
  if (static_cast<int>(loading_.size()) >= concurrent_loads_) {
    return OrderResult::kWeightStoreBusy;
  }
  loading_[version] = now + load_time_;
  return OrderResult::kDone;
}

OrderResult VersionManager::Activate(const VersionId& version) {
  if (!loaded_.contains(version)) {
    return OrderResult::kRejected;
  }
  active_ = version;
  return OrderResult::kDone;
}

OrderResult VersionManager::Unload(const VersionId& version) {
  if (version == active_) {
    return OrderResult::kRejected;
  }
  loaded_.erase(version);
  loading_.erase(version);
  return OrderResult::kDone;
}

void VersionManager::Advance(TimePoint now) {
  std::erase_if(loading_, [this, now](const auto& load) {
    const bool is_loaded = load.second <= now;
    if (is_loaded) {
      loaded_.insert(load.first);
    }
    return is_loaded;
  });
}

FencingNumber VersionManager::fencing() const {
  return checks_fencing_ ? fencing_ : FencingNumber();
}

}  // namespace papaya
