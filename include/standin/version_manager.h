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

// An order as received from a router.
struct StandinOrder {
  OperationId id;
  FencingNumber fencing;
  // `load_version`, `unload_version`, `activate_version`, `load_adapter` or
  // `set_role`.
  std::string action;
  std::string argument;
};

// The result of an order.
enum class OrderResult : uint8_t {
  kDone,             // executed now or before, or the load has started
  kStaleFencing,     // an order with a higher fencing number was received
  kWeightStoreBusy,  // the maximum number of loads is in progress
  kRejected,         // unknown action, or not possible for this version
};

// The versions, adapters and role of a stand-in engine, and the execution of
// the orders that change them. Orders are idempotent by their id and are
// checked against the highest fencing number received.
class VersionManager {
 public:
  struct Options {
    VersionId version;
    // Duration of loading a version from the weight store. Adapters load
    // immediately.
    Duration load_time = std::chrono::seconds(1);
    // Maximum number of concurrent loads. Further loads are rejected with
    // kWeightStoreBusy.
    int concurrent_loads = 1;
    bool checks_fencing = true;
  };

  explicit VersionManager(const Options& options);

  OrderResult Order(const StandinOrder& order, TimePoint now);

  // Completes the loads that end by `now`.
  void Advance(TimePoint now);

  void set_checks_fencing(bool checks) { checks_fencing_ = checks; }

  const VersionId& active() const { return active_; }
  const std::set<VersionId>& loaded() const { return loaded_; }
  // Versions being loaded, with the times at which they will be loaded.
  const std::map<VersionId, TimePoint>& loading() const { return loading_; }
  const std::set<std::string>& adapters() const { return adapters_; }
  const std::string& role() const { return role_; }
  // The highest fencing number received, or 0 if fencing is not checked.
  FencingNumber fencing() const;
  // Ids of the latest orders that were executed, oldest first.
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
