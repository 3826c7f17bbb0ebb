// The estimate is a quantile over the peak use of recent attempts.

#include "estimator.h"

#include <algorithm>
#include <ranges>

namespace sassafras::placement {
namespace {

constexpr int64_t kFullRatio = 1000;
// Estimates below the declared amount are rounded up to a multiple of this, so
// that small changes of the quantile don't change what tasks reserve.
constexpr int64_t kRatioStep = 20;
// Smallest part of the declared processors that a task reserves. The replicated
// state enforces the same limit.
constexpr int64_t kMinRatio = kFullRatio / 4;

int64_t RatioOf(int64_t used, int64_t declared) {
  const int64_t of = std::max<int64_t>(1, declared);
  return (used * kFullRatio + of - 1) / of;
}

int64_t AddMargin(int64_t value, uint32_t percent) {
  return (value * (100 + static_cast<int64_t>(percent)) + 99) / 100;
}

// `values` must not be empty; its elements are reordered.
int64_t Quantile(std::vector<int64_t>& values, uint32_t percent) {
  const auto rank =
      static_cast<int64_t>((values.size() * percent + 99) / 100 - 1);
  std::ranges::nth_element(values, values.begin() + rank);
  return values[rank];
}

}  // namespace

wire::Resources WithMargin(const wire::Resources& used,
                           const wire::Resources& bound,
                           uint32_t percent) {
  const auto expected_use = [percent](int64_t use, int64_t within) {
    return use <= within ? within : AddMargin(use, percent);
  };
  // Accelerators are whole devices, so they get no margin.
  return {expected_use(used.milli_cpus, bound.milli_cpus),
          expected_use(used.memory_mib, bound.memory_mib),
          std::max(used.accelerators, bound.accelerators)};
}

wire::Resources Estimator::Estimate(const wire::Resources& declared) const {
  const auto scale = [](int64_t amount, int64_t ratio) {
    return (std::max<int64_t>(1, amount) * ratio + kFullRatio - 1) / kFullRatio;
  };
  return {scale(declared.milli_cpus, ratio_.milli_cpus),
          scale(declared.memory_mib, ratio_.memory_mib),
          scale(declared.accelerators, ratio_.accelerators)};
}

bool Estimator::RecordUsage(wire::AttemptId attempt,
                            const wire::Resources& used,
                            const wire::Resources& declared,
                            const Options& options) {
  const wire::Resources ratio{
      RatioOf(used.milli_cpus, declared.milli_cpus),
      RatioOf(used.memory_mib, declared.memory_mib),
      RatioOf(used.accelerators, declared.accelerators)};
  const auto it = std::ranges::find(samples_, attempt, &Sample::attempt);
  if (it != samples_.end()) {
    const auto peak = wire::Resources::Max(it->ratio, ratio);
    if (peak == it->ratio) {
      return false;
    }
    it->ratio = peak;
  } else if (samples_.size() < kMaxSamples) {
    samples_.push_back({attempt, ratio});
  } else {
    samples_[oldest_] = {attempt, ratio};
    oldest_ = (oldest_ + 1) % kMaxSamples;
  }
  return Recompute(options);
}

bool Estimator::RecordSuccess(const wire::Resources& used,
                              const wire::Resources& declared,
                              const Options& options) {
  if (used.milli_cpus == 0) {
    return false;  // the attempt ended before its first usage report
  }
  success_ratios_.push_back(RatioOf(used.milli_cpus, declared.milli_cpus));
  if (success_ratios_.size() > kMaxSamples) {
    success_ratios_.pop_front();
  }
  return Recompute(options);
}

bool Estimator::Recompute(const Options& options) {
  if (samples_.size() < options.usage_min_samples) {
    return false;
  }
  const auto ratio_above_declared = [&](int64_t wire::Resources::*dimension,
                                        uint32_t margin) -> int64_t {
    std::vector<int64_t> values;
    std::ranges::transform(
        samples_, std::back_inserter(values),
        [&](const Sample& it) { return it.ratio.*dimension; });
    const int64_t ratio = Quantile(values, options.usage_quantile_percent);
    return ratio <= kFullRatio ? 0 : AddMargin(ratio, margin);
  };
  const wire::Resources before = ratio_;
  ratio_ = {ratio_above_declared(&wire::Resources::milli_cpus,
                                 options.usage_margin_percent),
            ratio_above_declared(&wire::Resources::memory_mib,
                                 options.usage_margin_percent),
            ratio_above_declared(&wire::Resources::accelerators, 0)};
  if (ratio_.milli_cpus == 0) {
    ratio_.milli_cpus = CpuRatioBelowDeclared(options);
  }
  const auto effective_ratio = [](int64_t ratio) {
    return ratio == 0 ? kFullRatio : ratio;
  };
  return effective_ratio(ratio_.milli_cpus) <
             effective_ratio(before.milli_cpus) ||
         effective_ratio(ratio_.memory_mib) <
             effective_ratio(before.memory_mib) ||
         effective_ratio(ratio_.accelerators) <
             effective_ratio(before.accelerators);
}

int64_t Estimator::CpuRatioBelowDeclared(const Options& options) const {
  if (success_ratios_.size() < options.usage_min_done) {
    return 0;
  }
  std::vector<int64_t> done(success_ratios_.begin(), success_ratios_.end());
  std::vector<int64_t> all;
  std::ranges::transform(samples_, std::back_inserter(all),
                         [](const auto& it) { return it.ratio.milli_cpus; });
  // `samples_` includes running attempts, whose peak use can only grow.
  const int64_t ratio =
      AddMargin(std::max(Quantile(all, options.usage_quantile_percent),
                         Quantile(done, options.usage_quantile_percent)),
                options.usage_margin_percent);
  const int64_t rounded = (ratio + kRatioStep - 1) / kRatioStep * kRatioStep;
  return rounded >= kFullRatio ? 0 : std::max(kMinRatio, rounded);
}

}  // namespace sassafras::placement
