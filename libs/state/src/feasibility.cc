// Checks whether a job could ever run: compares it with the quota of its owner
// and with all registered workers, live or not.

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <string_view>

#include "jobs.h"

namespace sassafras::state {
namespace {

using wire::CommandResult;
using wire::Resources;
using wire::ResultCode;

struct Dimension {
  std::string_view name;
  int64_t Resources::*member;
};
constexpr std::array<Dimension, 3> kDimensions = {{
    {"milli_cpus", &Resources::milli_cpus},
    {"memory_mib", &Resources::memory_mib},
    {"accelerators", &Resources::accelerators},
}};

struct Excess {
  std::string_view resource;
  int64_t asked = 0;
  int64_t bound = 0;
};

CommandResult Infeasible(const Excess& excess, const std::string& what) {
  return {ResultCode::kInfeasible,
          what + ": requested " + std::to_string(excess.asked) + " " +
              std::string(excess.resource) + ", the limit is " +
              std::to_string(excess.bound),
          {{"resource", std::string(excess.resource)},
           {"asked", excess.asked},
           {"bound", excess.bound}}};
}

// Returns the first dimension in which `asked` exceeds `bound`, or nullopt.
std::optional<Excess> FindExcess(const Resources& asked,
                                 const Resources& bound) {
  const auto* it = std::ranges::find_if(kDimensions, [&](const Dimension& dim) {
    return asked.*dim.member > bound.*dim.member;
  });
  if (it == kDimensions.end()) {
    return std::nullopt;
  }
  return Excess{it->name, asked.*it->member, bound.*it->member};
}

// Returns the resources of the tasks that must run concurrently: one task of a
// batch job, all tasks of a gang or service.
Resources ConcurrentDemand(const wire::JobSpec& spec) {
  const int64_t count = spec.kind == wire::JobKind::kBatch ? 1 : spec.tasks;
  return {spec.per_task.milli_cpus * count, spec.per_task.memory_mib * count,
          spec.per_task.accelerators * count};
}

std::optional<CommandResult> CheckQuota(const Store& store,
                                        const wire::JobSpec& spec) {
  const document::OwnerPolicy* policy = store.document.FindOwner(spec.owner);
  if (policy == nullptr || !policy->quota) {
    return std::nullopt;
  }
  const auto excess = FindExcess(ConcurrentDemand(spec), *policy->quota);
  if (!excess) {
    return std::nullopt;
  }
  return Infeasible(*excess, "the job exceeds the quota of owner \"" +
                                 spec.owner.str() + "\"");
}

// Returns how many tasks of this size fit an idle worker.
int64_t CountFitting(const Resources& per_task, const Resources& capacity) {
  int64_t count = std::numeric_limits<int64_t>::max();
  for (const Dimension& it : kDimensions) {
    const int64_t asked = per_task.*it.member;
    if (asked > 0) {
      count = std::min(count, capacity.*it.member / asked);
    }
  }
  return count;
}

std::optional<CommandResult> CheckWorkers(const Store& store,
                                          const wire::JobSpec& spec) {
  const int64_t needed = spec.kind == wire::JobKind::kGang ? spec.tasks : 1;
  int64_t fitting = 0;
  Resources largest;
  for (const auto& [id, worker] : store.workers) {
    fitting += std::min(needed, CountFitting(spec.per_task, worker.capacity));
    if (fitting >= needed) {
      return std::nullopt;
    }
    largest = Resources::Max(largest, worker.capacity);
  }
  if (store.workers.empty()) {
    return std::nullopt;
  }
  if (const auto excess = FindExcess(spec.per_task, largest)) {
    return Infeasible(*excess, "one task exceeds the capacity of every worker");
  }
  return Infeasible({"tasks", needed, fitting},
                    "too few tasks of " + spec.per_task.ToString() +
                        " fit the workers concurrently");
}

}  // namespace

std::optional<CommandResult> FindInfeasibility(const Store& store,
                                               const wire::JobSpec& spec) {
  if (auto refusal = CheckQuota(store, spec)) {
    return refusal;
  }
  return CheckWorkers(store, spec);
}

}  // namespace sassafras::state
