#ifndef SRC_GATEWAY_STORE_PROBE_H_
#define SRC_GATEWAY_STORE_PROBE_H_

#include <cstdint>
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
  // A call without a response for so long shows that its connection may have
  // gone silent, and with it those of the watches.
  static constexpr Duration kSilenceLimit = std::chrono::seconds(1);

  struct Hooks {
    // The store has responded to a call made at `sent`.
    std::function<void(TimePoint sent)> alive;
    // A call got no response.
    std::function<void(TimePoint now)> silent;
  };

  // `store` must outlive the probe.
  StoreProbe(PlatformStore* store, std::string kind, Hooks hooks);

  // Call every 100 ms.
  void OnTick(TimePoint now, bool is_active);

 private:
  PlatformStore* const store_;
  const std::string kind_;
  const Hooks hooks_;
  bool is_calling_ = false;
  // Number of the last call. The responses to others are ignored.
  uint64_t call_ = 0;
  TimePoint sent_;
  TimePoint next_call_;
  // Expires with this object, so that late responses are ignored.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_GATEWAY_STORE_PROBE_H_
