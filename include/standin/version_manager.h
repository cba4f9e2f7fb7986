#ifndef INCLUDE_STANDIN_VERSION_MANAGER_H_
#define INCLUDE_STANDIN_VERSION_MANAGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// An order as it comes over the wire.
struct StandinOrder {
  OperationId id;
  FencingNumber fencing;
  // `load_version`, `unload_version`, `activate_version`, `load_adapter` or
  // `set_role`.
  std::string action;
  std::string argument;
};

// What an engine answers to an order.
enum class OrderResult : uint8_t {
  kDone,             // done, done before, or being loaded
  kStaleFencing,     // a newer fencing number was seen
  kWeightStoreBusy,  // the weight store serves another load
  kRejected,         // not possible: unknown action, version not loaded
};

// What an engine has loaded, and the orders that change it.
class VersionManager {
 public:
  struct Options {
    VersionId version;
    // Loading a version or adapter from the weight store takes this long.
    Duration load_time = std::chrono::seconds(1);
    // Loads at the same time; more are refused as kWeightStoreBusy.
    int concurrent_loads = 1;
    bool checks_fencing = true;
  };

  explicit VersionManager(const Options& options);

  OrderResult Order(const StandinOrder& order, TimePoint now);

  // Finishes the loads that are due.
  void Advance(TimePoint now);

  void set_checks_fencing(bool checks) { checks_fencing_ = checks; }

  const VersionId& active() const { return active_; }
  const std::set<VersionId>& loaded() const { return loaded_; }
  // Versions on their way, with the time at which they are there.
  const std::map<VersionId, TimePoint>& loading() const { return loading_; }
  const std::set<std::string>& adapters() const { return adapters_; }
  const std::string& role() const { return role_; }
  // The highest number seen; 0 if numbers are ignored.
  FencingNumber fencing() const;
  // Orders that were done, oldest first.
  const std::vector<OperationId>& orders() const { return orders_; }

 private:
  OrderResult Load(const VersionId& version, TimePoint now);
  OrderResult Activate(const VersionId& version);
  OrderResult Unload(const VersionId& version);
  OrderResult Execute(const StandinOrder& order, TimePoint now);

  static constexpr size_t kMaxOrders = 256;

  const Duration load_time_;
  const int concurrent_loads_;
  bool checks_fencing_;
  VersionId active_;
  std::set<VersionId> loaded_;
  std::map<VersionId, TimePoint> loading_;
  std::set<std::string> adapters_;
  std::string role_ = "serve";
  FencingNumber fencing_;
  std::vector<OperationId> orders_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_VERSION_MANAGER_H_
