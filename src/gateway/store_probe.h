#ifndef SRC_GATEWAY_STORE_PROBE_H_
#define SRC_GATEWAY_STORE_PROBE_H_

#include <functional>
#include <memory>
#include <string>

#include "include/base/units.h"
#include "include/gateway/platform_store.h"

namespace papaya {

// Shows that the store responds to a router that reads it for others, so that
// the watches of that router can wait long. Lists a kind of few objects with a
// tenth of the cost of a call, and does not read the response.
class StoreProbe {
 public:
  // The news that a reader passes on is confirmed this often. Routers notice
  // the loss of a reader's store by its age; see StoreFeed::kReaderStaleLimit.
  static constexpr Duration kInterval = std::chrono::milliseconds(300);

  // `store` must outlive the probe. `alive` is called with the time at which a
  // call was made that the store has responded to.
  StoreProbe(PlatformStore* store,
             std::string kind,
             std::function<void(TimePoint sent)> alive);

  // Call every 100 ms.
  void OnTick(TimePoint now, bool is_active);

 private:
  PlatformStore* const store_;
  const std::string kind_;
  const std::function<void(TimePoint sent)> alive_;
  bool is_calling_ = false;
  TimePoint next_call_;
  // Expires with this object, so that late responses are ignored.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_GATEWAY_STORE_PROBE_H_
