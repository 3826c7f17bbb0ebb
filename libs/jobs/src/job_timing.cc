// Computes the longest chains of a job and the due time that it can meet.

#include "jobs/job_timing.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace sassafras::jobs {
namespace {

// Times the latency objective; a result that comes later is of no use.
constexpr double kLastUsefulFactor = 3;
// Estimates are rough, and a step ends with its slowest task.
constexpr double kSpeedMargin = 1.5;
// Workers named in the advice query that the objective includes for each step.
constexpr double kAdvisedWorkers = 30;
constexpr double kMaxTimeMs = 1e13;

int64_t AdviceMs(const Queue* queue) {
  if (queue == nullptr || !queue->advice.is_required) {
    return 0;
  }
  return static_cast<int64_t>(queue->advice.decide_ms +
                              kAdvisedWorkers * queue->advice.each_ms);
}

// Longer times count as kMaxTimeMs, which sums of a few times can hold.
base::Duration Milliseconds(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(std::min(ms, kMaxTimeMs)));
}

}  // namespace

JobTiming::JobTiming(const JobSpec& spec,
                     const Queue* queue,
                     base::Instant accepted_at)
    : accepted_at_(accepted_at), remaining_ms_(spec.steps.size()) {
  const int64_t advice_ms = AdviceMs(queue);
  // A step depends on earlier steps only, so a later step's chain is complete
  // before those that lead to it are extended.
  for (size_t n = spec.steps.size(); n-- > 0;) {
    remaining_ms_[n] += spec.steps[n].estimate_ms + advice_ms;
    for (const uint32_t earlier : spec.steps[n].after) {
      remaining_ms_[earlier] =
          std::max(remaining_ms_[earlier], remaining_ms_[n]);
    }
  }
  if (!remaining_ms_.empty()) {
    longest_chain_ms_ = *std::ranges::max_element(remaining_ms_);
  }
}

void JobTiming::OnOccurrence(uint64_t occurrence, base::Instant begun_at) {
  begun_at_.try_emplace(occurrence, begun_at);
}

StepDates JobTiming::DatesOf(const Queue& queue,
                             uint32_t step,
                             uint64_t occurrence) const {
  const auto begun = begun_at_.find(occurrence);
  const base::Instant begin =
      begun == begun_at_.end() ? accepted_at_ : begun->second;
  const double objective_ms =
      queue.stretch * static_cast<double>(longest_chain_ms_) +
      static_cast<double>(queue.target_latency_ms);
  const base::Duration shortest = Milliseconds(
      static_cast<double>(remaining_ms_[step]) * kMinEstimateShare);
  StepDates dates;
  dates.objective = begin + Milliseconds(objective_ms);
  dates.last_useful = begin + Milliseconds(objective_ms * kLastUsefulFactor);
  dates.last_start_for_objective = dates.objective - shortest;
  dates.last_useful_start = dates.last_useful - shortest;
  return dates;
}

DueTime JobTiming::DueTimeOf(const Queue& queue,
                             uint32_t step,
                             base::Instant now,
                             uint64_t occurrence) const {
  const StepDates dates = DatesOf(queue, step, occurrence);
  if (now <= dates.last_start_for_objective) {
    return {dates.objective};
  }
  return {dates.last_useful, true, now > dates.last_useful_start};
}

double JobTiming::NeededSpeed(uint32_t step,
                              base::Instant due,
                              base::Instant now) const {
  if (due <= now) {
    return std::numeric_limits<double>::infinity();
  }
  const std::chrono::duration<double, std::milli> left = due - now;
  return kSpeedMargin * static_cast<double>(remaining_ms_[step]) / left.count();
}

}  // namespace sassafras::jobs
