// Resource arithmetic and validation of submitted jobs.

#include "jobs/types.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace sassafras::jobs {
namespace {

constexpr size_t kMaxPayloadBytes = 4'000;
constexpr size_t kMaxSteps = 256;
// Of all steps. Each task that has been started occupies memory on each control
// host.
constexpr uint32_t kMaxTasks = 10'000;
// More than any worker has; sums of it over all tasks don't overflow.
constexpr int64_t kMaxResourceAmount = 1'000'000'000'000;
// Some thirty years; sums of it over all steps and occurrences don't overflow.
constexpr int64_t kMaxJobTimeMs = 1'000'000'000'000;
constexpr uint64_t kMaxOccurrences = 1'000'000;
constexpr int64_t kMaxWallMs = 253'402'300'800'000;  // the year 10000
// One day, far more than the clocks of hosts differ.
constexpr base::WallMs kMaxClockDifferenceMs = 86'400'000;

std::string FaultOfRange(std::string_view name, int64_t value, int64_t most) {
  return value >= 0 && value <= most
             ? ""
             : std::string(name) + " must be between 0 and " +
                   std::to_string(most);
}

std::string FaultOfStep(const StepSpec& step, size_t position) {
  const std::string name = "step " + std::to_string(position);
  if (step.count == 0) {
    return name + ": the number of tasks must be at least 1";
  }
  for (const std::string& fault :
       {FaultOfRange(": the processor need in thousandths of a core",
                     step.need.cpu_milli, kMaxResourceAmount),
        FaultOfRange(": the memory need in MB", step.need.mem_mb,
                     kMaxResourceAmount),
        FaultOfRange(": the number of accelerators", step.need.accelerators,
                     kMaxResourceAmount),
        FaultOfRange(": the estimate in milliseconds", step.estimate_ms,
                     kMaxJobTimeMs),
        FaultOfRange(": the latency target in milliseconds",
                     step.target_latency_ms, kMaxJobTimeMs)}) {
    if (!fault.empty()) {
      return name + fault;
    }
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

Resources Times(Resources amount, uint64_t count) {
  for (const auto kind : kResourceKinds) {
    amount.*kind *= static_cast<int64_t>(count);
  }
  return amount;
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
  if (spec.payload.size() > kMaxPayloadBytes) {
    return "the text that a job passes to its tasks must have at most " +
           std::to_string(kMaxPayloadBytes) + " bytes";
  }
  if (spec.occurrences > kMaxOccurrences) {
    return "a job must have at most " + std::to_string(kMaxOccurrences) +
           " occurrences";
  }
  for (const std::string& fault :
       {FaultOfRange("the interval of a recurring job in milliseconds",
                     spec.interval_ms, kMaxJobTimeMs),
        FaultOfRange("the first due time in milliseconds since 1970",
                     spec.first_due_ms, kMaxWallMs)}) {
    if (!fault.empty()) {
      return fault;
    }
  }
  uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    tasks += step.count;
  }
  if (tasks > kMaxTasks) {
    return "a job must have at most " + std::to_string(kMaxTasks) + " tasks";
  }
  for (size_t n = 0; n < spec.steps.size(); ++n) {
    std::string fault = FaultOfStep(spec.steps[n], n);
    if (!fault.empty()) {
      return fault;
    }
  }
  return "";
}

// A start that lies far ahead would outrank each later life of the worker for
// good.
std::string FaultOf(const WorkerInfo& worker, base::WallMs now) {
  if (worker.boot.started_ms < 0 ||
      worker.boot.started_ms > now + kMaxClockDifferenceMs) {
    return "the start of the worker must not lie in the future";
  }
  const Resources& capacity = worker.capacity;
  const std::array amounts = {capacity.cpu_milli, capacity.mem_mb,
                              capacity.accelerators};
  const bool is_possible = std::ranges::all_of(
      amounts, [](int64_t it) { return it >= 0 && it <= kMaxResourceAmount; });
  return is_possible ? ""
                     : "each capacity of the worker must be between 0 and " +
                           std::to_string(kMaxResourceAmount);
}

}  // namespace sassafras::jobs
