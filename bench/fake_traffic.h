#ifndef BENCH_FAKE_TRAFFIC_H_
#define BENCH_FAKE_TRAFFIC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/fake_fleet.h"
#include "bench/fake_site.h"
#include "include/base/random.h"

namespace papaya::bench {

// Sends a site's traffic to a fleet with Poisson arrivals.
class FakeTraffic {
 public:
  // `site` and `fleet` must outlive the object. `load` is a fraction of the
  // site's capacity; above 1 it overloads the site.
  FakeTraffic(const FakeSite* site,
              FakeFleet* fleet,
              double load,
              uint64_t seed)
      : site_(site), fleet_(fleet), load_(load), random_(seed) {}

  // Multiplies the arrival rate of class `class_index` by `factor`.
  void ScaleClass(size_t class_index, double factor) {
    class_scale_.resize(site_->classes.size(), 1.0);
    class_scale_[class_index] = factor;
  }
  // Replaces the site's weights of the client accounts.
  void SetAccountFractions(std::vector<double> fractions) {
    account_fractions_ = std::move(fractions);
  }

  // Schedules requests from now until `end`.
  void Start(TimePoint end);

 private:
  struct Conversation {
    uint64_t seed = 0;
    int64_t blocks = 0;
  };

  void ScheduleNext(size_t traffic, double rate, TimePoint end);
  void Send(size_t traffic);
  std::vector<uint64_t> MakePrefixHashes(const TrafficClass& traffic,
                                         size_t account);
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
