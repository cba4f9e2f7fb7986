#ifndef INCLUDE_TELEMETRY_METRICS_H_
#define INCLUDE_TELEMETRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Label names and values of one metric, as `{{"tier", "critical"}}`.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// A count that only grows. Any thread.
class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_ = 0;
};

// A value that goes up and down. Any thread.
class Gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_ = 0;
};

// How long something takes, in logarithmic bins from 100 us to 1000 s. Any
// thread.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(Duration latency);

  // Upper bounds of the bins in seconds, the last one infinite, with the count
  // of each bin.
  std::vector<std::pair<double, uint64_t>> Bins() const;

  // Sum of all latencies.
  Duration sum() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

// All metrics of a process by name and labels, exported as Prometheus text.
// References stay good as long as the registry. Any thread; asking for a metric
// takes a lock, so keep the reference.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  // The counter called `name` with `labels`, made if need be. `help` is one
  // sentence for operators; that of the first call counts.
  Counter& GetCounter(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels = {});

  Gauge& GetGauge(const std::string& name,
                  const std::string& help,
                  const MetricLabels& labels = {});

  LatencyHistogram& GetHistogram(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels = {});

  // Prometheus' text format.
  std::string Export() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_METRICS_H_
