// The estimate is a quantile over the peak use of recent attempts.

#include "estimator.h"

#include <algorithm>
#include <ranges>

namespace sassafras::placement {
namespace {

constexpr int64_t kWhole = 1000;
// Estimates below the declared amount are rounded up to a multiple of this, so
// that small changes of the quantile don't change what tasks reserve.
constexpr int64_t kStep = 20;
// Smallest part of the declared processors that a task reserves. The replicated
// state enforces the same limit.
constexpr int64_t kLeast = kWhole / 4;

int64_t RatioOf(int64_t used, int64_t declared) {
  const int64_t of = std::max<int64_t>(1, declared);
  return (used * kWhole + of - 1) / of;
}

int64_t Raise(int64_t value, uint32_t percent) {
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
  const auto expect = [percent](int64_t use, int64_t within) {
    return use <= within ? within : Raise(use, percent);
  };
  // Accelerators are whole devices, so they get no margin.
  return {expect(used.milli_cpus, bound.milli_cpus),
          expect(used.memory_mib, bound.memory_mib),
          std::max(used.accelerators, bound.accelerators)};
}

wire::Resources Estimator::Estimate(const wire::Resources& declared) const {
  const auto scale = [](int64_t amount, int64_t ratio) {
    return (std::max<int64_t>(1, amount) * ratio + kWhole - 1) / kWhole;
  };
  return {scale(declared.milli_cpus, ratio_.milli_cpus),
          scale(declared.memory_mib, ratio_.memory_mib),
          scale(declared.accelerators, ratio_.accelerators)};
}

bool Estimator::Observe(wire::AttemptId attempt,
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
    samples_[next_] = {attempt, ratio};
    next_ = (next_ + 1) % kMaxSamples;
  }
  return Recompute(options);
}

bool Estimator::NoteDone(const wire::Resources& used,
                         const wire::Resources& declared,
                         const Options& options) {
  if (used.milli_cpus == 0) {
    return false;  // the attempt ended before its first usage report
  }
  done_.push_back(RatioOf(used.milli_cpus, declared.milli_cpus));
  if (done_.size() > kMaxSamples) {
    done_.pop_front();
  }
  return Recompute(options);
}

bool Estimator::Recompute(const Options& options) {
  if (samples_.size() < options.usage_min_samples) {
    return false;
  }
  const auto above = [&](int64_t wire::Resources::*dimension,
                         uint32_t margin) -> int64_t {
    std::vector<int64_t> values;
    std::ranges::transform(
        samples_, std::back_inserter(values),
        [&](const Sample& it) { return it.ratio.*dimension; });
    const int64_t ratio = Quantile(values, options.usage_quantile_percent);
    return ratio <= kWhole ? 0 : Raise(ratio, margin);
  };
  const wire::Resources before = ratio_;
  ratio_ = {above(&wire::Resources::milli_cpus, options.usage_margin_percent),
            above(&wire::Resources::memory_mib, options.usage_margin_percent),
            above(&wire::Resources::accelerators, 0)};
  if (ratio_.milli_cpus == 0) {
    ratio_.milli_cpus = ProcessorsBelowDeclared(options);
  }
  const auto in_force = [](int64_t ratio) {
    return ratio == 0 ? kWhole : ratio;
  };
  return in_force(ratio_.milli_cpus) < in_force(before.milli_cpus) ||
         in_force(ratio_.memory_mib) < in_force(before.memory_mib) ||
         in_force(ratio_.accelerators) < in_force(before.accelerators);
}

int64_t Estimator::ProcessorsBelowDeclared(const Options& options) const {
  if (done_.size() < options.usage_min_done) {
    return 0;
  }
  std::vector<int64_t> done(done_.begin(), done_.end());
  std::vector<int64_t> all;
  std::ranges::transform(samples_, std::back_inserter(all),
                         [](const auto& it) { return it.ratio.milli_cpus; });
  // `samples_` includes running attempts, whose peak use can only grow.
  const int64_t ratio =
      Raise(std::max(Quantile(all, options.usage_quantile_percent),
                     Quantile(done, options.usage_quantile_percent)),
            options.usage_margin_percent);
  const int64_t rounded = (ratio + kStep - 1) / kStep * kStep;
  return rounded >= kWhole ? 0 : std::max(kLeast, rounded);
}

}  // namespace sassafras::placement
