#include "src/admission/zone_outages.h"

#include <algorithm>

namespace papaya {

namespace {

// Failures within this time belong to one outage.
constexpr Duration kOutageWindow = std::chrono::seconds(3);
// A zone may be lost if at least this part of its upstreams are unreachable,
// and at least kMinFailed of them. A prompt that crashes engines hits fewer at
// a time.
constexpr double kFailedPart = 0.25;
constexpr size_t kMinFailed = 2;

}  // namespace

std::optional<TimePoint> ZoneOutages::OnUnreachable(const Place& place,
                                                    const UpstreamId& upstream,
                                                    size_t used,
                                                    TimePoint now) {
  std::deque<Failure>& failures = failures_[place];
  std::erase_if(failures, [&upstream, now](const Failure& failure) {
    return failure.upstream == upstream || now - failure.time > kOutageWindow;
  });
  failures.push_back({.upstream = upstream, .time = now});
  const size_t needed = std::max(
      kMinFailed, static_cast<size_t>(kFailedPart * static_cast<double>(used)));
  if (failures.size() < needed) {
    return std::nullopt;
  }
  return failures.front().time;
}

void ZoneOutages::OnAnswer(const Place& place, const UpstreamId& upstream) {
  const auto found = failures_.find(place);
  if (found == failures_.end()) {
    return;
  }
  std::erase_if(found->second, [&upstream](const Failure& failure) {
    return failure.upstream == upstream;
  });
  if (found->second.empty()) {
    failures_.erase(found);
  }
}

}  // namespace papaya
