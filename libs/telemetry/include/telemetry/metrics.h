// Counters, gauges and histograms of one process, and their text exposition.

#ifndef TELEMETRY_METRICS_H_
#define TELEMETRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace sassafras::telemetry {

// Label names are literals of the code; values may come from outside.
using Labels = std::vector<std::pair<std::string, std::string>>;

// Series of one metric; a further label set shares one series whose values
// read "other", so that hostile names can't fill the memory.
inline constexpr size_t kMaxSeriesPerMetric = 512;

// Only grows. Thread-safe.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_ = 0;
};

// Goes up and down. Thread-safe.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  void Add(double amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  double Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

// A distribution over buckets with given upper bounds, on Boost.Histogram.
// Thread-safe.
class Histogram {
 public:
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Observe(double value);
  // Durations are observed in seconds.
  void Observe(base::Duration value);

  uint64_t Count() const;
  // Upper bound of the bucket that holds the quantile, `share` in [0, 1];
  // infinity above the last bound, 0 where nothing was observed.
  double Quantile(double share) const;

 private:
  friend class Metrics;
  struct Impl;
  explicit Histogram(std::span<const double> bounds);
  std::string Render(std::string_view name, const Labels& labels) const;

  std::unique_ptr<Impl> impl_;
};

// Bounds in seconds, 100 us to 60 s, for latencies.
std::span<const double> LatencyBounds();

// The registry of one process. References stay valid as long as it lives;
// asking twice for one name and label set gives the same object. Thread-safe.
class Metrics {
 public:
  static std::unique_ptr<Metrics> Create();
  ~Metrics();

  // Names and label names: [a-zA-Z_][a-zA-Z0-9_]*. A name keeps the help
  // text that it was first asked for with. Use a name for one kind only: of
  // two kinds under one name, only one is rendered.
  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const Labels& labels = {});
  Gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  const Labels& labels = {});
  Histogram& GetHistogram(std::string_view name,
                          std::string_view help,
                          std::span<const double> bounds = LatencyBounds(),
                          const Labels& labels = {});

  // Prometheus text format 0.0.4, sorted by name.
  std::string Render() const;

 private:
  struct Impl;
  Metrics();

  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::telemetry

#endif  // TELEMETRY_METRICS_H_
