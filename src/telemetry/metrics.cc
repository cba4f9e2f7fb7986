#include "include/telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/count.hpp>
#include <limits>
#include <map>
#include <mutex>

namespace papaya {

namespace {

namespace bh = boost::histogram;

constexpr int kBins = 42;  // six to a factor of ten
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using BinCount = bh::accumulators::count<uint64_t, true>;

prometheus::ClientMetric MakeMetric(const MetricLabels& labels) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : labels) {
    metric.label.push_back({name, value});
  }
  return metric;
}

prometheus::ClientMetric::Histogram ExportHistogram(
    const LatencyHistogram& histogram) {
  prometheus::ClientMetric::Histogram out;
  for (const auto& [bound, count] : histogram.Bins()) {
    out.sample_count += count;
    out.bucket.push_back(
        {.cumulative_count = out.sample_count, .upper_bound = bound});
  }
  out.sample_sum = ToSeconds(histogram.sum());
  return out;
}

}  // namespace

class LatencyHistogram::Impl {
 public:
  Impl()
      : bins_(bh::make_histogram_with(
            bh::dense_storage<BinCount>(),
            LogAxis(kBins, kLowestSeconds, kHighestSeconds))) {}

  decltype(bh::make_histogram_with(
      bh::dense_storage<BinCount>(),
      LogAxis(kBins, kLowestSeconds, kHighestSeconds))) bins_;
  std::atomic<int64_t> sum_ns_ = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration latency) {
  impl_->bins_(ToSeconds(latency));
  impl_->sum_ns_.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::vector<std::pair<double, uint64_t>> LatencyHistogram::Bins() const {
  std::vector<std::pair<double, uint64_t>> bins;
  bins.reserve(kBins + 2);
  const LogAxis& axis = impl_->bins_.axis();
  for (int i = -1; i <= kBins; ++i) {
    const double bound = i == kBins ? std::numeric_limits<double>::infinity()
                                    : axis.bin(i).upper();
    bins.emplace_back(bound, impl_->bins_.at(i).value());
  }
  return bins;
}

Duration LatencyHistogram::sum() const {
  return Duration(impl_->sum_ns_.load(std::memory_order_relaxed));
}

class MetricsRegistry::Impl {
 public:
  template <typename Metric>
  struct Family {
    std::string help;
    std::map<MetricLabels, std::unique_ptr<Metric>> metrics;
  };
  template <typename Metric>
  using Families = std::map<std::string, Family<Metric>>;

  template <typename Metric>
  Metric& Get(Families<Metric>& families,
              const std::string& name,
              const std::string& help,
              const MetricLabels& labels) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Family<Metric>& family = families[name];
    if (family.help.empty()) {
      family.help = help;
    }
    std::unique_ptr<Metric>& metric = family.metrics[labels];
    if (metric == nullptr) {
      metric = std::make_unique<Metric>();
    }
    return *metric;
  }

  template <typename Metric, typename Function>
  void Collect(const Families<Metric>& families,
               prometheus::MetricType type,
               Function fill,
               std::vector<prometheus::MetricFamily>* out) const {
    for (const auto& [name, family] : families) {
      prometheus::MetricFamily collected;
      collected.name = name;
      collected.help = family.help;
      collected.type = type;
      for (const auto& [labels, metric] : family.metrics) {
        collected.metric.push_back(MakeMetric(labels));
        fill(*metric, collected.metric.back());
      }
      out->push_back(std::move(collected));
    }
  }

  std::vector<prometheus::MetricFamily> CollectAll() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<prometheus::MetricFamily> families;
    Collect(
        counters_, prometheus::MetricType::Counter,
        [](const Counter& counter, prometheus::ClientMetric& out) {
          out.counter.value = static_cast<double>(counter.value());
        },
        &families);
    Collect(
        gauges_, prometheus::MetricType::Gauge,
        [](const Gauge& gauge, prometheus::ClientMetric& out) {
          out.gauge.value = static_cast<double>(gauge.value());
        },
        &families);
    Collect(
        histograms_, prometheus::MetricType::Histogram,
        [](const LatencyHistogram& histogram, prometheus::ClientMetric& out) {
          out.histogram = ExportHistogram(histogram);
        },
        &families);
    return families;
  }

  mutable std::mutex mutex_;
  Families<Counter> counters_;
  Families<Gauge> gauges_;
  Families<LatencyHistogram> histograms_;
};

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>()) {}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::GetCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  return impl_->Get(impl_->counters_, name, help, labels);
}

Gauge& MetricsRegistry::GetGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  return impl_->Get(impl_->gauges_, name, help, labels);
}

LatencyHistogram& MetricsRegistry::GetHistogram(const std::string& name,
                                                const std::string& help,
                                                const MetricLabels& labels) {
  return impl_->Get(impl_->histograms_, name, help, labels);
}

std::string MetricsRegistry::Export() const {
  return prometheus::TextSerializer().Serialize(impl_->CollectAll());
}

}  // namespace papaya
