// Places copies of slow runs on capacity that no waiting step needs.

#include <algorithm>
#include <limits>
#include <optional>

#include "planner.h"

namespace sassafras::jobs {

void Planner::PlaceCopies() {
  for (const auto& [task, run] : history_.slow_runs) {
    if (plan_.steps_without_room == 0) {
      PlaceCopy(task, run);
    }
  }
}

// Steps that wait for advice, or that are kept back, will need room soon though
// they weren't short of it.
bool Planner::LeavesRoom(const WaitingStep& copy) {
  Resources room = FreeCapacityFor(copy);
  for (const WaitingStep& step : waiting_steps_) {
    if (step.queue->service == copy.queue->service && !step.IsCapped()) {
      room -= Times(step.spec->Charge(), step.UnstartedTasks() - step.placed);
    }
  }
  const Resources need = copy.spec->Charge();
  return std::ranges::none_of(kResourceKinds, [&](auto kind) {
    return need.*kind > 0 && need.*kind > room.*kind;
  });
}

// The copy has to catch up with a run that began earlier, so it needs a fast
// worker.
void Planner::PlaceCopy(const TaskKey& key, uint64_t run) {
  const JobRecord* job = table_.FindJob(key.step.job);
  const Queue* queue = job == nullptr ? nullptr : table_.FindQueue(job->queue);
  const StepRecord* record = table_.FindStep(key.step);
  if (queue == nullptr || record == nullptr ||
      job->phase != JobPhase::kActive) {
    return;
  }
  WaitingStep step{job, queue, &job->spec.steps[key.step.step], record,
                   key.step};
  step.needed_speed = std::numeric_limits<double>::infinity();
  step.is_excess = job->is_excess;
  step.pool_use = quotas_.Open(job->customer, queue->service);
  const TaskRecord& task = record->tasks[key.index];
  if (task.is_done || task.run != run || IsSuspect(task.crashes) ||
      !task.MayHaveCopy(*step.spec) || step.IsCapped() || IsKeptBack(step) ||
      !LeavesRoom(step)) {
    return;
  }
  Pool eligible = EligibleWorkers(step);
  std::erase_if(eligible, [&](const Candidate* worker) {
    return std::ranges::find(worker->record->runs, key, &OpenRun::task) !=
           worker->record->runs.end();
  });
  if (Candidate* worker = ChooseWorker(step, key, eligible)) {
    AddStart(step, *worker, key.index, task.NextRun());
    plan_.starts.back().is_copy = true;
  }
}

}  // namespace sassafras::jobs
