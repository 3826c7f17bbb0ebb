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
  const base::Instant again = task.keeps_wait ? now - task.waited : now;
  task.since = is_first ? std::min(now, job.submitted) : again;
  AddToQueue(task);
}

void Cell::AddToQueue(Task& task) {
  Job& job = *task.job;
  if (job.pending.empty()) {
    job.waiting_since = task.since;
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
  task.waited = now - task.since;
  task.is_protected = task.waited >= options_.starvation_bound;
  task.phase = Phase::kInFlight;
  ++task.job->active;
  Attach(task, worker, reserved);
}

void Cell::Refuse(Task& task) {
  if (task.phase != Phase::kInFlight) {
    return;
  }
  Detach(task);
  task.worker = nullptr;
  --task.job->active;
  Job& job = *task.job;
  if (job.is_removed) {
    task.phase = Phase::kIdle;
    EraseIfOver(job);
    return;
  }
  task.phase = Phase::kPending;
  task.must_end.reset();
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
  if (task.must_end) {
    SetTimer(task, *task.must_end - options_.checkpoint_grace);
  } else if (task.is_probe) {
    SetTimer(task, now + options_.fast_failure);
  }
}

void Cell::StartAttempt(base::Instant now,
                        Task& task,
                        const TaskAssigned& event) {
  ClearTimer(task);
  task.phase = Phase::kActive;
  task.attempt = event.attempt;
  task.reserved = event.reserved;
  task.since = now;
  task.peak = {};
  task.is_running = false;
  task.is_evicted = false;
  task.order =
      task.IsHeld() ? wire::AttemptOrder::kThrottle : wire::AttemptOrder::kRun;
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
  task.must_end.reset();
  task.is_probe = false;
  --task.job->active;
  task.keeps_wait =
      outcome == TaskOutcome::kLost || outcome == TaskOutcome::kPreempted;
  task.job->done += outcome == TaskOutcome::kDone ? 1 : 0;
}

void Cell::Evict(Task& task) {
  if (task.is_evicted || task.worker == nullptr) {
    return;
  }
  Owner& owner = *task.job->owner;
  owner.running[task.rank].erase(task.attempt.value());
  task.is_evicted = true;
  task.worker->leaving += task.charge;
  owner.leaving += task.reserved;
}

void Cell::Observe(Task& task, const wire::Resources& used) {
  if (task.worker == nullptr || task.phase != Phase::kActive) {
    return;
  }
  Worker& worker = *task.worker;
  worker.used += used - task.used;
  task.used = used;
  task.peak = wire::Resources::Max(task.peak, used);
  const auto charge =
      WithMargin(task.peak, task.reserved, options_.usage_margin_percent);
  if (charge == task.charge) {
    return;
  }
  worker.charge += charge - task.charge;
  if (task.is_evicted) {
    worker.leaving += charge - task.charge;
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
  worker.held += amount;
  worker.claimants.push_back(&task);
  task.job->owner->claimed += amount;
  Refresh(worker);
}

void Cell::Unclaim(Task& task) {
  if (task.claim_worker == nullptr) {
    return;
  }
  Worker& worker = *task.claim_worker;
  worker.held -= task.claim;
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
  task.worker_slot = worker.tasks.size();
  worker.tasks.push_back(&task);
  task.reserved = reserved;
  task.charge = reserved;
  task.used = {};
  worker.reserved += reserved;
  worker.charge += reserved;
  Owner& owner = *task.job->owner;
  owner.held += reserved;
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
  worker->tasks[task.worker_slot] = worker->tasks.back();
  worker->tasks[task.worker_slot]->worker_slot = task.worker_slot;
  worker->tasks.pop_back();
  worker->reserved -= task.reserved;
  worker->charge -= task.charge;
  worker->used -= task.used;
  task.used = {};
  owner.held -= task.reserved;
  if (task.is_evicted) {
    worker->leaving -= task.charge;
    owner.leaving -= task.reserved;
    task.is_evicted = false;
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
