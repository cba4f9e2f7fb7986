#ifndef SRC_ADMISSION_ZONE_OUTAGES_H_
#define SRC_ADMISSION_ZONE_OUTAGES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Recognizes from single failures that all upstreams of a service in a zone may
// have been lost, including those to which this router sent nothing meanwhile.
class ZoneOutages {
 public:
  using Place = std::pair<AvailabilityZoneId, PoolId>;

  // An upstream was unreachable. `used` is the number of upstreams of `place`
  // that this router uses. If the place may be lost, returns the time since
  // which its upstreams must have answered to be excepted.
  std::optional<TimePoint> OnUnreachable(const Place& place,
                                         const UpstreamId& upstream,
                                         size_t used,
                                         TimePoint now);
  // The upstream has answered, so its earlier failure no longer counts.
  void OnAnswer(const Place& place, const UpstreamId& upstream);

 private:
  struct Failure {
    UpstreamId upstream;
    TimePoint time;
  };

  // The last failure of each upstream, oldest first.
  std::map<Place, std::deque<Failure>> failures_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_ZONE_OUTAGES_H_
