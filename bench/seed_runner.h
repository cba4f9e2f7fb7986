#ifndef BENCH_SEED_RUNNER_H_
#define BENCH_SEED_RUNNER_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <vector>

namespace papaya::bench {

// Calls `run` for the seeds 1 to `seeds` and returns the results in the order
// of the seeds. Up to four seeds run at a time, each in its own thread, so
// calls of `run` must not share mutable state.
inline std::vector<std::vector<double>> RunSeeds(
    int seeds,
    const std::function<std::vector<double>(uint64_t)>& run) {
  constexpr int kThreads = 4;
  std::vector<std::vector<double>> results;
  for (int first = 1; first <= seeds; first += kThreads) {
    std::vector<std::future<std::vector<double>>> running;
    for (int seed = first; seed < first + kThreads && seed <= seeds; ++seed) {
      running.push_back(
          std::async(std::launch::async, run, static_cast<uint64_t>(seed)));
    }
    for (std::future<std::vector<double>>& result : running) {
      results.push_back(result.get());
    }
  }
  return results;
}

// Returns the values of all seeds in one vector.
inline std::vector<double> Flatten(
    const std::vector<std::vector<double>>& results) {
  std::vector<double> all;
  for (const std::vector<double>& values : results) {
    all.insert(all.end(), values.begin(), values.end());
  }
  return all;
}

// Returns the quantile of `values` at `fraction`, in [0, 1]: the sorted value
// with the nearest index. Returns 0 if there are no values.
inline double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const double index = fraction * static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(index))];
}

inline double Sum(const std::vector<double>& values) {
  double sum = 0.0;
  for (double value : values) {
    sum += value;
  }
  return sum;
}

inline double Max(const std::vector<double>& values) {
  return values.empty() ? 0.0 : *std::max_element(values.begin(), values.end());
}

}  // namespace papaya::bench

#endif  // BENCH_SEED_RUNNER_H_
