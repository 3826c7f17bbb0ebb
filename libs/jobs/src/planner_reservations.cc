// Keeps workers free for steps that are hard to place. Each worker is kept for
// one step, and a gang gets workers for all its tasks or none: workers that two
// gangs count on, or that are too few for one, lie idle for nothing.

#include <algorithm>
#include <functional>
#include <tuple>

#include "planner.h"

namespace sassafras::jobs {
namespace {

// Of a pool, for all steps together; the first may have more. Workers that
// become free one after the other lie idle until the last one is free.
constexpr double kReservableShare = 0.3;

// Returns how many tasks of the step an empty worker could run.
size_t CountFittingIfEmpty(const WaitingStep& step, const Candidate& worker) {
  const size_t fitting = CountFitting(step, worker.info().capacity);
  const size_t limit = step.spec->max_per_worker;
  return limit == 0 ? fitting : std::min(fitting, limit);
}

}  // namespace

void Planner::ReleaseReservation(const WaitingStep& step) {
  for (Candidate* worker : PoolOf(step)) {
    if (worker->reserved_for == step.key) {
      worker->reserved_for.reset();
    }
  }
}

// Reserves those of the permitted workers with the most free capacity, which
// will be able to run the step soonest. A worker that runs a task of the step
// isn't reserved: the end of that task makes room for the next one, until then
// the rest would lie idle.
void Planner::Reserve(const WaitingStep& step, Pool permitted) {
  ReleaseReservation(step);
  if (pools_fully_reserved_.contains(step.queue->service)) {
    return;
  }
  std::erase_if(permitted, [&](const Candidate* worker) {
    return worker->reserved_for || CountTasks(step.key, *worker) > 0;
  });
  std::ranges::sort(permitted, std::greater(), [](const Candidate* worker) {
    return std::tuple(worker->free_capacity.accelerators,
                      worker->free_capacity.cpu_milli);
  });
  size_t missing = step.UnstartedTasks() - step.placed;
  size_t chosen = 0;
  while (missing > 0 && chosen < permitted.size()) {
    missing -= std::min(missing, CountFittingIfEmpty(step, *permitted[chosen]));
    ++chosen;
  }
  const size_t reservable = CountReservable(step);
  if (chosen > reservable) {
    pools_fully_reserved_.insert(step.queue->service);
  }
  const bool is_complete = missing == 0 && chosen <= reservable;
  if (step.spec->is_gang && !is_complete) {
    return;
  }
  permitted.resize(std::min(chosen, reservable));
  for (Candidate* worker : permitted) {
    worker->reserved_for = step.key;
    worker->reserved_class = step.Class();
    plan_.reserved_workers.emplace(worker->boot(), step.key);
  }
  if (is_complete) {
    plan_.reserved_steps.insert(step.key);
  }
}

// The first step gets more, or the widest gangs would never start, but it
// leaves half of the pool open: it may be unable to start for a reason not
// known here.
size_t Planner::CountReservable(const WaitingStep& step) {
  const Pool& pool = PoolOf(step);
  const auto reserved = static_cast<size_t>(std::ranges::count_if(
      pool, [](const Candidate* it) { return it->reserved_for.has_value(); }));
  const auto share =
      static_cast<size_t>(kReservableShare * static_cast<double>(pool.size()));
  const size_t most = reserved == 0 ? pool.size() / 2 : share;
  return most - std::min(most, reserved);
}

}  // namespace sassafras::jobs
