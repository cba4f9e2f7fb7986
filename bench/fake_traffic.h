#ifndef BENCH_FAKE_TRAFFIC_H_
#define BENCH_FAKE_TRAFFIC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/fake_fleet.h"
#include "bench/fake_site.h"
#include "include/base/random.h"

namespace papaya::bench {

// Sends a site's traffic to a fleet, as Poisson arrivals.
class FakeTraffic {
 public:
  // Both must outlive the traffic. `load` is a part of the site's capacity.
  FakeTraffic(const FakeSite* site,
              FakeFleet* fleet,
              double load,
              uint64_t seed)
      : site_(site), fleet_(fleet), load_(load), random_(seed) {}

  // Multiplies the requests of one class, or of one account.
  void ScaleClass(size_t number, double factor) {
    class_scale_.resize(site_->classes.size(), 1.0);
    class_scale_[number] = factor;
  }
  void SetAccountFractions(std::vector<double> fractions) {
    account_fractions_ = std::move(fractions);
  }

  // Sends requests from now until `end`.
  void Start(TimePoint end);

 private:
  struct Conversation {
    uint64_t seed = 0;
    int64_t blocks = 0;
  };

  void ScheduleNext(size_t traffic, double rate, TimePoint end);
  void Send(size_t traffic);
  std::vector<uint64_t> MakePrefix(const TrafficClass& traffic, size_t account);
  size_t DrawWeighted(const std::vector<double>& fractions);
  size_t DrawRouter();

  const FakeSite* site_;
  FakeFleet* fleet_;
  double load_;
  Random random_;
  std::vector<double> class_scale_;
  std::vector<double> account_fractions_;
  std::vector<Conversation> conversations_;
};

}  // namespace papaya::bench

#endif  // BENCH_FAKE_TRAFFIC_H_
