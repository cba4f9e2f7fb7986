#ifndef BENCH_MEASURE_H_
#define BENCH_MEASURE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papaya::bench {

// Whether a value must be above or below its target.
enum class Better {
  kHigher,
  kLower,
  kNone,  // Printed without a target.
};

// One value that a measure produced, printed as one line.
struct Measurement {
  // The full name, such as `overload.booking_goodput`, followed by the variant
  // in brackets if there are several, such as
  // `overload.booking_goodput[skokan,2x,quiet]`.
  std::string name;
  double value = 0.0;
  std::string unit;
  // The same quantity for the measure's baseline; empty if it has none.
  std::optional<double> baseline;
  std::optional<double> target;
  Better better = Better::kNone;
  // The number of seeds that the value is computed over; 0 if it does not
  // depend on a seed.
  int seeds = 0;
};

// Returns `measure=… value=… unit=… baseline=… target=… verdict=ok|short
// seeds=…`, on one line. The verdict is `short` if the value misses its target,
// and `ok` if it meets it or has none. An absent baseline or target is `none`.
std::string FormatMeasurement(const Measurement& measurement);

// A benchmark. Measures of decisions run in virtual time, so the same seeds
// give the same values.
struct Measure {
  // The prefix of the names of all its measurements, such as
  // `overload.booking_goodput`.
  std::string name;
  std::function<std::vector<Measurement>()> run;
};

// Adds a measure to the bench program and returns true. Call it from the
// initializer of a variable at namespace scope:
//   const bool kRegistered = RegisterMeasure({"routing.decision", &Run});
bool RegisterMeasure(Measure measure);

// Returns the measures whose name starts with one of `prefixes` or is itself a
// prefix of one of them, sorted by name. Returns all if `prefixes` is empty.
std::vector<Measure> FindMeasures(const std::vector<std::string>& prefixes);

// Returns the time of one call of `body` in nanoseconds: calls it in five
// batches of at least 20 ms each and returns the smallest mean of a batch.
double TimePerCallNs(const std::function<void()>& body);

// Returns the bytes allocated on the heap at present. The difference of two
// calls gives the size of a structure that was built in between.
int64_t LiveHeapBytes();

}  // namespace papaya::bench

#endif  // BENCH_MEASURE_H_
