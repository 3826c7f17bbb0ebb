// The registry: families of series by name, rendered in order of names.

#include "telemetry/metrics.h"

#include <map>
#include <mutex>

#include "escape.h"

namespace sassafras::telemetry {

namespace {

// All series of one kind under one name.
template <typename Series>
struct Family {
  struct Item {
    Labels labels;
    std::unique_ptr<Series> series;
  };

  std::string help;
  std::map<std::string, Item> items;  // by rendered labels
};

template <typename Series>
using Families = std::map<std::string, Family<Series>, std::less<>>;

// The labels that a new series of `family` gets.
template <typename Series>
Labels LabelsWithin(const Family<Series>& family, const Labels& labels) {
  if (family.items.size() < kMaxSeriesPerMetric) {
    return labels;
  }
  Labels shared = labels;
  for (auto& [name, value] : shared) {
    value = "other";
  }
  return shared;
}

template <typename Series, typename Make>
Series& FindOrMake(Families<Series>& families,
                   std::string_view name,
                   std::string_view help,
                   const Labels& labels,
                   Make make) {
  auto it = families.find(name);
  if (it == families.end()) {
    it = families.emplace(std::string(name), Family<Series>{}).first;
    it->second.help = help;
  }
  auto& items = it->second.items;
  const auto known = items.find(RenderLabels(labels));
  if (known != items.end()) {
    return *known->second.series;
  }
  const Labels kept = LabelsWithin(it->second, labels);
  auto& item = items[RenderLabels(kept)];
  if (!item.series) {
    item = {kept, make()};
  }
  return *item.series;
}

}  // namespace

struct Metrics::Impl {
  mutable std::mutex mutex;
  Families<Counter> counters;
  Families<Gauge> gauges;
  Families<Histogram> histograms;

  static std::string RenderSeries(const std::string& name,
                                  const Labels& labels,
                                  const Counter& counter) {
    return name + RenderLabels(labels) + " " + std::to_string(counter.Value()) +
           "\n";
  }

  static std::string RenderSeries(const std::string& name,
                                  const Labels& labels,
                                  const Gauge& gauge) {
    return name + RenderLabels(labels) + " " + RenderNumber(gauge.Value()) +
           "\n";
  }

  static std::string RenderSeries(const std::string& name,
                                  const Labels& labels,
                                  const Histogram& histogram) {
    return histogram.Render(name, labels);
  }

  // Adds the block of each family: its head and its series.
  template <typename Series>
  static void AddBlocks(const Families<Series>& families,
                        std::string_view type,
                        std::map<std::string, std::string>& blocks) {
    for (const auto& [name, family] : families) {
      std::string block =
          "# HELP " + name + " " + EscapeText(family.help) + "\n";
      block += "# TYPE " + name + " " + std::string(type) + "\n";
      for (const auto& [key, item] : family.items) {
        block += RenderSeries(name, item.labels, *item.series);
      }
      blocks.emplace(name, std::move(block));
    }
  }
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::Create() {
  return std::unique_ptr<Metrics>(new Metrics());
}

Counter& Metrics::GetCounter(std::string_view name,
                             std::string_view help,
                             const Labels& labels) {
  const std::lock_guard lock(impl_->mutex);
  return FindOrMake(impl_->counters, name, help, labels,
                    [] { return std::make_unique<Counter>(); });
}

Gauge& Metrics::GetGauge(std::string_view name,
                         std::string_view help,
                         const Labels& labels) {
  const std::lock_guard lock(impl_->mutex);
  return FindOrMake(impl_->gauges, name, help, labels,
                    [] { return std::make_unique<Gauge>(); });
}

Histogram& Metrics::GetHistogram(std::string_view name,
                                 std::string_view help,
                                 std::span<const double> bounds,
                                 const Labels& labels) {
  const std::lock_guard lock(impl_->mutex);
  return FindOrMake(impl_->histograms, name, help, labels, [bounds] {
    return std::unique_ptr<Histogram>(new Histogram(bounds));
  });
}

std::string Metrics::Render() const {
  const std::lock_guard lock(impl_->mutex);
  std::map<std::string, std::string> blocks;  // by name
  Impl::AddBlocks(impl_->counters, "counter", blocks);
  Impl::AddBlocks(impl_->gauges, "gauge", blocks);
  Impl::AddBlocks(impl_->histograms, "histogram", blocks);
  std::string out;
  for (const auto& [name, block] : blocks) {
    out += block;
  }
  return out;
}

}  // namespace sassafras::telemetry
