#include "include/base/random.h"

#include <cmath>
#include <numbers>

namespace papaya {

namespace {

constexpr int kMantissaBits = 53;
constexpr double kMantissaScale = 1.0 / (uint64_t{1} << kMantissaBits);

}  // namespace

double Random::Uniform() {
  return static_cast<double>(engine_() >> (64 - kMantissaBits)) *
         kMantissaScale;
}

double Random::Exponential(double mean) {
  return -mean * std::log1p(-Uniform());
}

double Random::LogNormal(double median, double sigma) {
  const double radius = std::sqrt(Exponential(2.0));
  const double angle = 2.0 * std::numbers::pi * Uniform();
  return median * std::exp(sigma * radius * std::cos(angle));
}

Duration Random::Jitter(Duration base, double spread) {
  const double factor = 1.0 + spread * (2.0 * Uniform() - 1.0);
  return SecondsToDuration(ToSeconds(base) * factor);
}

}  // namespace papaya
