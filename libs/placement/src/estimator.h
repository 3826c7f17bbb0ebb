// Estimates the resource use of a workload's tasks from delayed usage reports.

#ifndef PLACEMENT_ESTIMATOR_H_
#define PLACEMENT_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "placement/options.h"
#include "wire/ids.h"
#include "wire/resources.h"

namespace sassafras::placement {

// Keeps the peak use of the most recent attempts of one workload, one sample
// per attempt, in thousandths of the declared amount. Ratios are used because
// jobs of one workload differ in size, but their declarations tend to be off by
// the same factor.
class Estimator {
 public:
  // Raises the attempt's sample to its observed use. Returns true if the
  // estimate shrank in some dimension, which happens when an old sample is
  // replaced.
  bool RecordUsage(wire::AttemptId attempt,
                   const wire::Resources& used,
                   const wire::Resources& declared,
                   const Options& options);

  // Records a successful attempt, whose peak use was enough for the whole task.
  // Returns true if the estimate shrank.
  bool RecordSuccess(const wire::Resources& used,
                     const wire::Resources& declared,
                     const Options& options);

  // Returns the expected use of a task, including the margin. A dimension is
  // zero if the declared amount applies because the use stays within it. This
  // is so for memory and accelerators, which can't be taken back from a running
  // attempt, and for processors until enough attempts have succeeded.
  wire::Resources Estimate(const wire::Resources& declared) const;

 private:
  static constexpr size_t kMaxSamples = 64;

  struct Sample {
    wire::AttemptId attempt;
    wire::Resources ratio;  // peak use in thousandths of the declared amount
  };

  // Returns true if the estimate shrank in some dimension.
  bool Recompute(const Options& options);
  int64_t CpuRatioBelowDeclared(const Options& options) const;

  std::vector<Sample> samples_;  // a ring buffer once it is full
  size_t oldest_ = 0;            // the oldest sample in a full ring buffer
  // Processor ratios of the most recent successful attempts.
  std::deque<int64_t> success_ratios_;
  wire::Resources ratio_;  // zero: the declared amount applies
};

// Returns for each dimension `bound` if `used` is within it, otherwise `used`
// raised by `percent` and rounded up. Accelerators are not raised.
wire::Resources WithMargin(const wire::Resources& used,
                           const wire::Resources& bound,
                           uint32_t percent);

}  // namespace sassafras::placement

#endif  // PLACEMENT_ESTIMATOR_H_
