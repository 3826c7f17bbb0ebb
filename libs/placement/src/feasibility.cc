// Cell: what tasks reserve, and whether a job could run on an empty cell within
// its owner's quota.

#include <algorithm>
#include <ranges>

#include "cell.h"

namespace sassafras::placement {
namespace {

struct Dimension {
  const char* name;
  const char* unit;
  int64_t wire::Resources::*value;
};

constexpr std::array kDimensions = {
    Dimension{"processors", "m", &wire::Resources::milli_cpus},
    Dimension{"memory", " MiB", &wire::Resources::memory_mib},
    Dimension{"accelerators", "", &wire::Resources::accelerators}};

std::string FormatAmount(const Dimension& dimension,
                         const wire::Resources& of) {
  return std::to_string(of.*dimension.value) + dimension.unit + " " +
         dimension.name;
}

wire::Resources Multiply(const wire::Resources& value, int64_t n) {
  return {value.milli_cpus * n, value.memory_mib * n, value.accelerators * n};
}

// Number of tasks of size `need` that fit into `capacity`.
uint64_t TasksPerWorker(const wire::Resources& need,
                        const wire::Resources& capacity) {
  uint64_t fit = UINT32_MAX;
  for (const Dimension& dimension : kDimensions) {
    const int64_t one = need.*dimension.value;
    if (one > 0) {
      fit =
          std::min(fit, static_cast<uint64_t>(capacity.*dimension.value / one));
    }
  }
  return fit;
}

}  // namespace

wire::Resources Cell::TaskReservation(const wire::JobSpec& spec,
                                      const Workload* workload) const {
  const wire::Resources& declared = spec.per_task;
  if (workload == nullptr) {
    return declared;
  }
  const auto estimated = workload->estimator.Estimate(declared);
  auto wanted = wire::Resources::Max(declared, estimated);
  // Services never reserve fewer processors than declared, as their use depends
  // on their callers and can rise at any time.
  if (estimated.milli_cpus > 0 && spec.kind != wire::JobKind::kService) {
    wanted.milli_cpus = estimated.milli_cpus;
  }
  if (wanted == declared) {
    return wanted;
  }
  wire::Resources bound = declared;
  for (const auto& [capacity, count] : capacities_) {
    if (wanted.FitsIn(capacity)) {
      return wanted;
    }
    if (declared.FitsIn(capacity)) {
      bound = capacity;
    }
  }
  return {std::min(wanted.milli_cpus, bound.milli_cpus),
          std::min(wanted.memory_mib, bound.memory_mib),
          std::min(wanted.accelerators, bound.accelerators)};
}

wire::Resources Cell::TaskReservation(const Job& job) const {
  return TaskReservation(job.spec, job.workload.get());
}

wire::Resources Cell::TaskReservationFor(const wire::JobSpec& spec) const {
  const auto it = workloads_.find({spec.owner, spec.workload});
  const auto workload = it == workloads_.end() ? nullptr : it->second.lock();
  return TaskReservation(spec, workload.get());
}

std::optional<std::string> Cell::WhyInfeasible(
    const wire::JobSpec& spec) const {
  for (const Dimension& dimension : kDimensions) {
    if (spec.per_task.*dimension.value < 0) {
      return "job \"" + spec.id.str() + "\" asks for " +
             FormatAmount(dimension, spec.per_task) + ", expected at least 0";
    }
  }
  if (auto why = WhyExceedsQuota(spec)) {
    return why;
  }
  return WhyExceedsWorkers(spec);
}

std::optional<std::string> Cell::WhyExceedsQuota(
    const wire::JobSpec& spec) const {
  const auto it = owner_by_id_.find(spec.owner);
  if (it == owner_by_id_.end() || !it->second->quota) {
    return std::nullopt;
  }
  // Batch tasks may run one after another; all tasks of other kinds run at
  // once.
  const int64_t concurrent =
      spec.kind == wire::JobKind::kBatch ? 1 : spec.tasks;
  const auto need = Multiply(spec.per_task, concurrent);
  for (const Dimension& dimension : kDimensions) {
    if (need.*dimension.value > (*it->second->quota).*dimension.value) {
      return "job \"" + spec.id.str() + "\" needs " +
             FormatAmount(dimension, need) + ", the quota of owner \"" +
             spec.owner.str() + "\" is " +
             FormatAmount(dimension, *it->second->quota);
    }
  }
  return std::nullopt;
}

std::optional<std::string> Cell::WhyExceedsWorkers(
    const wire::JobSpec& spec) const {
  if (capacities_.empty()) {
    return std::nullopt;  // unknown, as no worker is ready yet
  }
  const bool is_batch = spec.kind == wire::JobKind::kBatch;
  const uint64_t concurrent = is_batch ? 1 : spec.tasks;
  const uint64_t fit = TasksThatFit(spec.per_task, concurrent);
  if (fit >= concurrent) {
    return std::nullopt;
  }
  if (fit > 0) {
    return "job \"" + spec.id.str() + "\" needs " + std::to_string(concurrent) +
           " tasks of " + spec.per_task.ToString() +
           " at once, all workers together hold " + std::to_string(fit);
  }
  wire::Resources largest;
  for (const auto& capacity : capacities_ | std::views::keys) {
    largest = wire::Resources::Max(largest, capacity);
  }
  for (const Dimension& dimension : kDimensions) {
    if (spec.per_task.*dimension.value > largest.*dimension.value) {
      return "job \"" + spec.id.str() + "\" needs " +
             FormatAmount(dimension, spec.per_task) +
             " per task, the largest worker has " +
             FormatAmount(dimension, largest);
    }
  }
  return "job \"" + spec.id.str() + "\" needs " + spec.per_task.ToString() +
         " per task, no single worker has all of it";
}

uint64_t Cell::TasksThatFit(const wire::Resources& need,
                            uint64_t enough) const {
  uint64_t fit = 0;
  for (const auto& [capacity, count] : capacities_) {
    fit += TasksPerWorker(need, capacity) * count;
    if (fit >= enough) {
      break;
    }
  }
  return fit;
}

Share Cell::ShareOf(const wire::Resources& held) const {
  return DominantShare(held, total_);
}

Share Cell::EntitlementOf(const Owner& owner) const {
  return Entitlement(owner.weight, static_cast<double>(sum_of_weights_));
}

Share Cell::NetShare(const Owner& owner) const {
  return ShareOf(owner.reserved - owner.evicting);
}

bool Cell::IsWithinQuota(const Owner& owner,
                         const wire::Resources& more) const {
  return !owner.quota || (owner.reserved + more).FitsIn(*owner.quota);
}

}  // namespace sassafras::placement
