// A failure counts against the worker unless the task or its workload is
// considered faulty. At most a third of the workers is quarantined at a time.

#include "quarantine.h"

#include <algorithm>

namespace sassafras::placement {
namespace {

constexpr size_t kMaxFailedOn = 4;
constexpr uint32_t kMaxQuarantinedDivisor = 3;

void RecordFailedOn(Task& task, const Worker& worker) {
  std::erase(task.failed_on, &worker);
  task.failed_on.push_back(&worker);
  if (task.failed_on.size() > kMaxFailedOn) {
    task.failed_on.erase(task.failed_on.begin());
  }
  ++task.failures;
}

}  // namespace

void Quarantine::OnEnded(base::Instant now,
                         Cell& cell,
                         Task& task,
                         const TaskEnded& event) {
  if (task.worker == nullptr) {
    return;
  }
  Worker& worker = *task.worker;
  const bool was_probe = task.is_probe && worker.health.is_probing();
  if (event.outcome == TaskOutcome::kDone) {
    worker.health.RecordSuccess(now);
    RecordSuccess(now, cell, *task.job->workload, worker);
    if (was_probe && worker.is_quarantined) {
      releases_.insert(worker.slot);
    }
  } else if (event.outcome == TaskOutcome::kFailed) {
    OnFailed(now, cell, task, event);
    if (was_probe) {
      worker.health.FailProbe(now, cell.options());
    }
  } else if (was_probe) {
    worker.health.CancelProbe();
  }
}

// A success shows that the workload isn't faulty, so its earlier failures on
// other workers count more strongly against those workers.
void Quarantine::RecordSuccess(base::Instant now,
                               Cell& cell,
                               Workload& workload,
                               const Worker& worker) {
  for (const uint32_t slot : workload.health.RecordSuccess(now, worker.slot)) {
    cell.workers()[slot].health.RecordSuccessElsewhere(workload.sequence);
    suspects_.insert(slot);
  }
}

void Quarantine::OnFailed(base::Instant now,
                          Cell& cell,
                          Task& task,
                          const TaskEnded& event) {
  Worker& worker = *task.worker;
  RecordFailedOn(task, worker);
  const bool is_fast = std::chrono::milliseconds(event.ran_ms) <=
                       cell.options().max_fast_failure_run;
  if (!is_fast) {
    return;
  }
  WorkloadHealth& workload = task.job->workload->health;
  workload.RecordFailure(now, worker.slot, cell.options());
  const bool is_work_at_fault =
      task.failed_on.size() >= cell.options().faulty_task_workers ||
      workload.IsFaulty(now, cell.options());
  if (is_work_at_fault) {
    return;
  }
  worker.health.RecordFastFailure(
      now, task.job->workload->sequence, task.job->owner->slot,
      workload.HasSucceededElsewhere(now, worker.slot, cell.options()),
      cell.options());
  suspects_.insert(worker.slot);
}

void Quarantine::OnCommitted(base::Instant now,
                             Cell& cell,
                             Worker& worker,
                             bool is_quarantined) {
  proposed_.erase(worker.slot);
  worker.quarantine_proposed.reset();
  if (is_quarantined && !worker.is_quarantined) {
    worker.health.Quarantine(now, cell.options());
  }
  if (!is_quarantined) {
    worker.health.Release();
  }
  cell.SetQuarantined(worker, is_quarantined);
}

void Quarantine::Propose(PlanContext& context,
                         Worker& worker,
                         std::string reason) {
  context.cell.SetQuarantined(worker, true);
  worker.health.Quarantine(context.now, context.cell.options());
  worker.quarantine_proposed = context.now;
  proposed_.insert(worker.slot);
  context.plan.decisions.push_back(
      {DecisionKind::kQuarantine, {}, {}, worker.id, 1, {}, reason});
  context.plan.quarantines.push_back({worker.id, true, std::move(reason)});
}

void Quarantine::Run(PlanContext& context) {
  Cell& cell = context.cell;
  for (uint32_t slot : suspects_) {
    Worker& worker = cell.workers()[slot];
    if (!worker.is_present || worker.is_quarantined) {
      continue;
    }
    const auto present = cell.usable_workers() + cell.quarantined().size();
    const bool is_too_many =
        (cell.quarantined().size() + 1) * kMaxQuarantinedDivisor > present;
    const auto owners = static_cast<uint32_t>(cell.owners().size());
    auto reason =
        worker.health.QuarantineReason(context.now, owners, cell.options());
    if (reason && !is_too_many) {
      Propose(context, worker, *std::move(reason));
    }
  }
  suspects_.clear();
  for (uint32_t slot : releases_) {
    Worker& worker = cell.workers()[slot];
    if (worker.is_present && worker.is_quarantined) {
      worker.health.Release();
      worker.quarantine_proposed = context.now;
      proposed_.insert(slot);
      context.plan.decisions.push_back({DecisionKind::kRelease,
                                        {},
                                        {},
                                        worker.id,
                                        1,
                                        {},
                                        "probe succeeded"});
      context.plan.quarantines.push_back(
          {worker.id, false, "the probe task succeeded"});
    }
  }
  releases_.clear();
}

}  // namespace sassafras::placement
