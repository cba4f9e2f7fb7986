#include "include/standin/version_shelf.h"

#include <algorithm>

namespace papaya {

VersionShelf::VersionShelf(const Options& options)
    : load_time_(options.load_time),
      concurrent_loads_(options.concurrent_loads),
      checks_fencing_(options.checks_fencing),
      active_(options.version),
      loaded_({options.version}) {}

OrderAnswer VersionShelf::Order(const StandinOrder& order, TimePoint now) {
  Advance(now);
  if (checks_fencing_ && order.fencing < fencing_) {
    return OrderAnswer::kOldFencing;
  }
  fencing_ = std::max(fencing_, order.fencing);
  if (std::find(orders_.begin(), orders_.end(), order.id) != orders_.end()) {
    return OrderAnswer::kDone;
  }
  const OrderAnswer answer = Carry(order, now);
  if (answer == OrderAnswer::kDone) {
    orders_.push_back(order.id);
    if (orders_.size() > kMaxOrders) {
      orders_.erase(orders_.begin());
    }
  }
  return answer;
}

OrderAnswer VersionShelf::Carry(const StandinOrder& order, TimePoint now) {
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
    return OrderAnswer::kDone;
  }
  if (order.action == "set_role") {
    role_ = order.argument;
    return OrderAnswer::kDone;
  }
  return OrderAnswer::kRefused;
}

OrderAnswer VersionShelf::Load(const VersionId& version, TimePoint now) {
  if (loaded_.contains(version) || loading_.contains(version)) {
    return OrderAnswer::kDone;
  }
  if (static_cast<int>(loading_.size()) >= concurrent_loads_) {
    return OrderAnswer::kWeightStoreBusy;
  }
  loading_[version] = now + load_time_;
  return OrderAnswer::kDone;
}

OrderAnswer VersionShelf::Activate(const VersionId& version) {
  if (!loaded_.contains(version)) {
    return OrderAnswer::kRefused;
  }
  active_ = version;
  return OrderAnswer::kDone;
}

OrderAnswer VersionShelf::Unload(const VersionId& version) {
  if (version == active_) {
    return OrderAnswer::kRefused;
  }
  loaded_.erase(version);
  loading_.erase(version);
  return OrderAnswer::kDone;
}

void VersionShelf::Advance(TimePoint now) {
  std::erase_if(loading_, [this, now](const auto& load) {
    const bool is_there = load.second <= now;
    if (is_there) {
      loaded_.insert(load.first);
    }
    return is_there;
  });
}

FencingNumber VersionShelf::fencing() const {
  return checks_fencing_ ? fencing_ : FencingNumber();
}

}  // namespace papaya
