// Cell: task accounting. All changes of the resources that tasks hold on
// workers and of their owners' shares are made here.

#include "cell.h"

#include <algorithm>

namespace sassafras::placement {

void Cell::MakePending(base::Instant now, Task& task) {
  Job& job = *task.job;
  if (job.is_removed || task.phase == Phase::kPending) {
    return;
  }
  if (task.phase != Phase::kIdle) {
    Finish(task, TaskOutcome::kLost);
  }
  const bool is_first = task.attempt.IsNone();
  task.phase = Phase::kPending;
  const base::Instant again = task.keeps_wait_time ? now - task.waited : now;
  task.queued_or_assigned_at = is_first ? std::min(now, job.submitted) : again;
  AddToQueue(task);
}

void Cell::AddToQueue(Task& task) {
  Job& job = *task.job;
  if (job.pending.empty()) {
    job.waiting_since = task.queued_or_assigned_at;
  }
  job.pending.insert(task.index);
  ++job.owner->waiting_tasks;
  if (job.group == nullptr) {
    Enqueue(job);
  }
}

void Cell::Propose(base::Instant now,
                   Task& task,
                   Worker& worker,
                   const wire::Resources& reserved) {
  LeaveQueue(task);
  task.waited = now - task.queued_or_assigned_at;
  task.is_protected = task.waited >= options_.starvation_bound;
  task.phase = Phase::kInFlight;
  ++task.job->active;
  Attach(task, worker, reserved);
}

void Cell::ReturnToQueue(Task& task) {
  if (task.phase != Phase::kInFlight) {
    return;
  }
  Detach(task);
  task.worker = nullptr;
  --task.job->active;
  Job& job = *task.job;
  if (job.is_removed) {
    task.phase = Phase::kIdle;
    EraseIfFinished(job);
    return;
  }
  task.phase = Phase::kPending;
  task.backfill_deadline.reset();
  task.is_probe = false;
  AddToQueue(task);
}

void Cell::Activate(base::Instant now, Task& task, const TaskAssigned& event) {
  if (task.phase == Phase::kActive && event.attempt <= task.attempt) {
    return;
  }
  Worker* worker = FindWorker(event.worker);
  const bool was_in_flight = task.phase == Phase::kInFlight;
  // Usually the assignment is committed exactly as it was proposed.
  const bool is_as_proposed = was_in_flight && worker != nullptr &&
                              task.worker == worker &&
                              task.reserved == event.reserved;
  if (task.phase == Phase::kPending) {
    LeaveQueue(task);
  } else if (task.phase != Phase::kIdle && !is_as_proposed) {
    Detach(task);
    task.worker = nullptr;
  }
  task.job->active +=
      task.phase == Phase::kIdle || task.phase == Phase::kPending ? 1 : 0;
  StartAttempt(now, task, event);
  if (is_as_proposed) {
    task.job->owner->running[task.rank].emplace(task.attempt.value(), &task);
  } else if (worker != nullptr) {
    Attach(task, *worker, event.reserved);
  }
  if (task.backfill_deadline) {
    SetTimer(task, *task.backfill_deadline - options_.checkpoint_grace);
  } else if (task.is_probe) {
    SetTimer(task, now + options_.max_fast_failure_run);
  }
}

void Cell::StartAttempt(base::Instant now,
                        Task& task,
                        const TaskAssigned& event) {
  ClearTimer(task);
  task.phase = Phase::kActive;
  task.attempt = event.attempt;
  task.reserved = event.reserved;
  task.queued_or_assigned_at = now;
  task.peak_use = {};
  task.is_running = false;
  task.is_evicting = false;
  task.order = task.IsCpuCapped() ? wire::AttemptOrder::kThrottle
                                  : wire::AttemptOrder::kRun;
  task.ordered_at = now;
  task.is_order_committed = true;
}

void Cell::Finish(Task& task, TaskOutcome outcome) {
  if (task.phase == Phase::kPending) {
    LeaveQueue(task);
    task.phase = Phase::kIdle;
    return;
  }
  if (task.phase == Phase::kIdle) {
    return;
  }
  ClearTimer(task);
  Detach(task);
  task.worker = nullptr;
  task.phase = Phase::kIdle;
  task.backfill_deadline.reset();
  task.is_probe = false;
  --task.job->active;
  task.keeps_wait_time =
      outcome == TaskOutcome::kLost || outcome == TaskOutcome::kPreempted;
  task.job->done += outcome == TaskOutcome::kDone ? 1 : 0;
}

void Cell::MarkEvicting(Task& task) {
  if (task.is_evicting || task.worker == nullptr) {
    return;
  }
  Owner& owner = *task.job->owner;
  owner.running[task.rank].erase(task.attempt.value());
  task.is_evicting = true;
  task.worker->evicting += task.charge;
  owner.evicting += task.reserved;
}

void Cell::RecordUsage(Task& task, const wire::Resources& used) {
  if (task.worker == nullptr || task.phase != Phase::kActive) {
    return;
  }
  Worker& worker = *task.worker;
  worker.used += used - task.used;
  task.used = used;
  task.peak_use = wire::Resources::Max(task.peak_use, used);
  const auto charge =
      WithMargin(task.peak_use, task.reserved, options_.usage_margin_percent);
  if (charge == task.charge) {
    return;
  }
  worker.charge += charge - task.charge;
  if (task.is_evicting) {
    worker.evicting += charge - task.charge;
  }
  task.charge = charge;
  Refresh(worker);
}

void Cell::Claim(base::Instant now,
                 Task& task,
                 Worker& worker,
                 const wire::Resources& amount) {
  Unclaim(task);
  task.claim_worker = &worker;
  task.claim = amount;
  task.claimed_at = now;
  worker.claimed += amount;
  worker.claimants.push_back(&task);
  task.job->owner->claimed += amount;
  Refresh(worker);
}

void Cell::Unclaim(Task& task) {
  if (task.claim_worker == nullptr) {
    return;
  }
  Worker& worker = *task.claim_worker;
  worker.claimed -= task.claim;
  task.job->owner->claimed -= task.claim;
  std::erase(worker.claimants, &task);
  task.claim_worker = nullptr;
  ClearTimer(task);
  MarkFreed(worker);
  Refresh(worker);
}

void Cell::Attach(Task& task, Worker& worker, const wire::Resources& reserved) {
  task.worker = &worker;
  task.rank = RankOf(task.job->spec);
  task.index_on_worker = worker.tasks.size();
  worker.tasks.push_back(&task);
  task.reserved = reserved;
  task.charge = reserved;
  task.used = {};
  worker.reserved += reserved;
  worker.charge += reserved;
  Owner& owner = *task.job->owner;
  owner.reserved += reserved;
  if (task.phase == Phase::kActive) {
    owner.running[task.rank].emplace(task.attempt.value(), &task);
  }
  CountSpread(task, worker, 1);
  Refresh(worker);
}

void Cell::Detach(Task& task) {
  Worker* worker = task.worker;
  if (worker == nullptr) {
    return;
  }
  Owner& owner = *task.job->owner;
  worker->tasks[task.index_on_worker] = worker->tasks.back();
  worker->tasks[task.index_on_worker]->index_on_worker = task.index_on_worker;
  worker->tasks.pop_back();
  worker->reserved -= task.reserved;
  worker->charge -= task.charge;
  worker->used -= task.used;
  task.used = {};
  owner.reserved -= task.reserved;
  if (task.is_evicting) {
    worker->evicting -= task.charge;
    owner.evicting -= task.reserved;
    task.is_evicting = false;
  } else if (task.phase == Phase::kActive) {
    owner.running[task.rank].erase(task.attempt.value());
  }
  CountSpread(task, *worker, -1);
  MarkFreed(*worker);
  Refresh(*worker);
}

void Cell::CountSpread(Task& task, const Worker& worker, int delta) {
  Job& job = *task.job;
  if (job.spec.kind != wire::JobKind::kService) {
    return;
  }
  const auto count = [delta](auto& counts, const auto& key) {
    const auto it = counts.try_emplace(key, 0).first;
    it->second += delta;
    if (it->second == 0) {
      counts.erase(it);
    }
  };
  count(job.in_zone, worker.zone);
  count(job.in_rack, worker.rack);
  count(job.on_worker, &worker);
}

void Cell::SetTimer(Task& task, base::Instant at) {
  ClearTimer(task);
  task.timer = std::pair(at, next_sequence_++);
  timers_.emplace(*task.timer, &task);
}

void Cell::ClearTimer(Task& task) {
  if (task.timer) {
    timers_.erase(*task.timer);
    task.timer.reset();
  }
}

Task* Cell::DueTimer(base::Instant now) {
  if (timers_.empty() || timers_.begin()->first.first > now) {
    return nullptr;
  }
  Task* task = timers_.begin()->second;
  ClearTimer(*task);
  return task;
}

std::optional<base::Instant> Cell::NextTimer() const {
  return timers_.empty() ? std::nullopt
                         : std::optional(timers_.begin()->first.first);
}

}  // namespace sassafras::placement
