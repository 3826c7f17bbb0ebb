// Resource arithmetic and validation of submitted jobs.

#include "jobs/types.h"

#include <algorithm>

namespace sassafras::jobs {
namespace {

constexpr size_t kMaxSteps = 256;
constexpr uint32_t kMaxTasksPerStep = 10'000;

std::string FaultOfStep(const StepSpec& step, size_t position) {
  const std::string name = "step " + std::to_string(position);
  if (step.count == 0 || step.count > kMaxTasksPerStep) {
    return name + ": the number of tasks must be between 1 and " +
           std::to_string(kMaxTasksPerStep);
  }
  if (step.need.cpu_milli < 0 || step.need.mem_mb < 0 ||
      step.need.accelerators < 0) {
    return name + ": resource amounts must not be negative";
  }
  const bool is_ordered = std::ranges::all_of(
      step.after, [&](uint32_t earlier) { return earlier < position; });
  return is_ordered ? "" : name + ": a step may depend only on earlier steps";
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  mem_mb += other.mem_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  mem_mb -= other.mem_mb;
  accelerators -= other.accelerators;
  return *this;
}

Resources StepSpec::Charge() const {
  Resources charge = need;
  if (is_filler) {
    charge.cpu_milli = 0;
  }
  return charge;
}

std::string FormatTaskName(const TaskKey& task) {
  return task.step.job.str() + "." + std::to_string(task.step.occurrence) +
         "." + std::to_string(task.step.step) + "." +
         std::to_string(task.index);
}

std::string FaultOf(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return "a job must have between 1 and " + std::to_string(kMaxSteps) +
           " steps";
  }
  if (spec.IsRecurring() && spec.interval_ms < 0) {
    return "the interval of a recurring job must not be negative";
  }
  for (size_t n = 0; n < spec.steps.size(); ++n) {
    std::string fault = FaultOfStep(spec.steps[n], n);
    if (!fault.empty()) {
      return fault;
    }
  }
  return "";
}

}  // namespace sassafras::jobs
