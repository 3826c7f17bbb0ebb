// A histogram series on Boost.Histogram with thread-safe counts.

#include <atomic>
#include <cmath>
#include <limits>
#include <numeric>

#include <boost/histogram.hpp>

#include "escape.h"
#include "telemetry/metrics.h"

namespace sassafras::telemetry {

namespace {

using Axis = boost::histogram::axis::variable<double>;
using Cell = boost::histogram::accumulators::count<uint64_t, true>;

// The exposition format counts a value equal to a bound below it, Boost's
// half-open bins above it: the edges are the next numbers after the bounds.
Axis MakeAxis(std::span<const double> bounds) {
  std::vector<double> edges(bounds.size());
  std::ranges::transform(bounds, edges.begin(), [](double bound) {
    return std::nextafter(bound, std::numeric_limits<double>::infinity());
  });
  return Axis(edges);
}

auto MakeCells(std::span<const double> bounds) {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<Cell>(), MakeAxis(bounds));
}

}  // namespace

struct Histogram::Impl {
  explicit Impl(std::span<const double> upper_bounds)
      : bounds(upper_bounds.begin(), upper_bounds.end()),
        cells(MakeCells(bounds)) {}

  // Observations per bucket; the last one is above every bound.
  std::vector<uint64_t> Counts() const {
    std::vector<uint64_t> counts;
    const int last = static_cast<int>(bounds.size()) - 1;
    for (int i = -1; i <= last; ++i) {
      counts.push_back(cells.at(i).value());
    }
    return counts;
  }

  std::vector<double> bounds;
  decltype(MakeCells({})) cells;
  std::atomic<double> sum = 0;
};

Histogram::Histogram(std::span<const double> bounds)
    : impl_(std::make_unique<Impl>(bounds)) {}

Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  if (std::isnan(value)) {
    return;
  }
  impl_->cells(value);
  impl_->sum.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::Observe(base::Duration value) {
  Observe(std::chrono::duration<double>(value).count());
}

uint64_t Histogram::Count() const {
  const auto counts = impl_->Counts();
  return std::accumulate(counts.begin(), counts.end(), uint64_t{0});
}

double Histogram::Quantile(double share) const {
  const auto counts = impl_->Counts();
  const uint64_t total =
      std::accumulate(counts.begin(), counts.end(), uint64_t{0});
  if (total == 0) {
    return 0;
  }
  const double wanted = std::max(1.0, std::ceil(share * double(total)));
  uint64_t seen = 0;
  for (size_t i = 0; i < impl_->bounds.size(); ++i) {
    seen += counts[i];
    if (double(seen) >= wanted) {
      return impl_->bounds[i];
    }
  }
  return std::numeric_limits<double>::infinity();
}

std::string Histogram::Render(std::string_view name,
                              const Labels& labels) const {
  std::string out;
  const auto counts = impl_->Counts();
  uint64_t seen = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    seen += counts[i];
    Labels with_bound = labels;
    with_bound.emplace_back("le", i < impl_->bounds.size()
                                      ? RenderNumber(impl_->bounds[i])
                                      : "+Inf");
    out += std::string(name) + "_bucket" + RenderLabels(with_bound) + " " +
           std::to_string(seen) + "\n";
  }
  const std::string suffix = RenderLabels(labels) + " ";
  out += std::string(name) + "_sum" + suffix +
         RenderNumber(impl_->sum.load(std::memory_order_relaxed)) + "\n";
  out += std::string(name) + "_count" + suffix + std::to_string(seen) + "\n";
  return out;
}

std::span<const double> LatencyBounds() {
  static constexpr double kBounds[] = {
      0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05,
      0.1,    0.25,    0.5,    1,     2,     5,     10,   30,    60};
  return kBounds;
}

}  // namespace sassafras::telemetry
