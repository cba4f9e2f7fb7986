#ifndef INCLUDE_GATEWAY_LEAVING_UPSTREAMS_H_
#define INCLUDE_GATEWAY_LEAVING_UPSTREAMS_H_

#include <map>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The upstreams that said in a response that they are leaving. This holds until
// the instance registers a new start, because an upstream that leaves does not
// return to service, and its registration may be late, or may be listed again
// after an outage of the store.
class LeavingUpstreams {
 public:
  // Marks one start of `instance`. Returns false if it was marked before.
  bool Mark(const UpstreamId& id, const std::string& instance);

  bool Contains(const UpstreamId& id, const std::string& instance) const;

  // The instance has a registration with the id of this start. Marks of its
  // earlier starts end.
  void OnRegistered(const UpstreamId& id, const std::string& instance);

  // The registration was removed. The mark ends after kMemory unless the same
  // start is registered again.
  void OnRemoved(const std::string& instance, TimePoint now);

  void OnTick(TimePoint now);

  size_t size() const { return marks_.size(); }

 private:
  // Longer than outages of the store during which a registration can expire
  // and return.
  static constexpr Duration kMemory = std::chrono::minutes(10);

  struct MarkedStart {
    UpstreamId id;
    std::optional<TimePoint> removed;
  };

  // By instance, of which one start can be marked at a time.
  std::map<std::string, MarkedStart> marks_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_LEAVING_UPSTREAMS_H_
