#ifndef INCLUDE_BASE_RANDOM_H_
#define INCLUDE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "include/base/units.h"

namespace papaya {

// A seeded source of random values. One seed always gives one sequence.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 2^64).
  uint64_t Next64() { return engine_(); }

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

  // Uniform in [0, 1).
  double Uniform();

  // True with the given probability.
  bool Chance(double probability) { return Uniform() < probability; }

  // Exponentially distributed with the given mean, as between arrivals.
  double Exponential(double mean);

  // Log-normally distributed with the given median and sigma of the log.
  double LogNormal(double median, double sigma);

  // `base` scaled by a uniform factor in [1 - spread, 1 + spread).
  Duration Jitter(Duration base, double spread);

 private:
  std::mt19937_64 engine_;
};

}  // namespace papaya

#endif  // INCLUDE_BASE_RANDOM_H_
