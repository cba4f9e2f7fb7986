#ifndef BENCH_MEASURE_H_
#define BENCH_MEASURE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papaya::bench {

// Which side of its target a figure must lie on.
enum class Better {
  kHigher,
  kLower,
  kNone,  // printed without a target
};

// One figure of a measure, printed as one line.
struct Measurement {
  // Full name, as `overload.booking_goodput`; variants follow in brackets, as
  // `overload.booking_goodput[skokan,2x,quiet]`.
  std::string name;
  double value = 0.0;
  std::string unit;
  // The same quantity under the baseline of the measure; empty if none.
  std::optional<double> baseline;
  std::optional<double> target;
  Better better = Better::kNone;
  // Seeds that the value is taken over; 0 if it does not depend on a seed.
  int seeds = 0;
};

// `measure=… value=… unit=… baseline=… target=… verdict=ok|short seeds=…`.
// Without a target the verdict is `ok`.
std::string FormatMeasurement(const Measurement& measurement);

// A measure: runs under virtual time where it judges decisions, and gives the
// same figures for the same seeds.
struct Measure {
  // Prefix of the names of all its figures, as `overload.booking_goodput`.
  std::string name;
  std::function<std::vector<Measurement>()> run;
};

// Adds a measure to the one bench runner. Call at namespace scope:
//   const bool kRegistered = RegisterMeasure({"routing.decision", &Run});
bool RegisterMeasure(Measure measure);

// All measures whose names start with one of `prefixes`, or the other way
// round; all of them if `prefixes` is empty. Sorted by name.
std::vector<Measure> FindMeasures(const std::vector<std::string>& prefixes);

// The mean time of one call of `body` in nanoseconds: the least of five
// batches, each at least 20 ms long.
double TimePerCallNs(const std::function<void()>& body);

// Heap bytes that are live now; differences give the size of a structure.
int64_t LiveHeapBytes();

}  // namespace papaya::bench

#endif  // BENCH_MEASURE_H_
