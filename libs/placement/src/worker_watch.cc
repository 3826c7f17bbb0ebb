// Attempts that exceed their reservation on an overused worker are throttled,
// then checkpointed, then stopped. Near the worker's capacity they are stopped
// at once, the lowest priority class first.

#include "worker_watch.h"

#include <algorithm>
#include <ranges>
#include <tuple>

#include "orders.h"
#include "policies.h"

namespace sassafras::placement {
namespace {

// Throttling ends when the worker's use falls this far below throttle_percent.
constexpr uint32_t kThrottleSlackPercent = 15;
// At most one in this many tasks of a service is moved at a time.
constexpr uint32_t kServiceMoveDivisor = 4;

wire::Resources Percent(const wire::Resources& value, uint32_t percent) {
  return {value.milli_cpus * percent / 100, value.memory_mib * percent / 100,
          value.accelerators};
}

wire::Resources ClampToZero(const wire::Resources& value) {
  return wire::Resources::Max(value, {});
}

// Sorts the lowest priority class first, then the latest attempt.
void SortByRank(std::vector<Task*>& tasks) {
  std::ranges::sort(tasks, [](const Task* a, const Task* b) {
    return std::tuple(a->rank, a->attempt) > std::tuple(b->rank, b->attempt);
  });
}

template <typename Predicate>
std::vector<Task*> TasksWith(const Worker& worker, Predicate&& is_wanted) {
  std::vector<Task*> tasks;
  for (Task* task : worker.tasks) {
    if (task->phase == Phase::kActive && !task->is_evicting &&
        is_wanted(*task)) {
      tasks.push_back(task);
    }
  }
  SortByRank(tasks);
  return tasks;
}

// Evicts tasks from a worker that registered again with less capacity than its
// tasks reserve.
void EvictExcess(PlanContext& context, Worker& worker) {
  wire::Resources over;
  for (const Task* task : worker.tasks) {
    over += task->is_evicting ? wire::Resources{} : task->reserved;
  }
  over -= worker.capacity;
  // The capacity is already gone, so pending checkpoints are cut short.
  for (Task* task : worker.tasks) {
    if (task->is_evicting && task->order == wire::AttemptOrder::kCheckpoint) {
      ProposeOrder(context, *task, wire::AttemptOrder::kStop,
                   task->order_reason);
    }
  }
  for (Task* task : TasksWith(worker, [](const Task&) { return true; })) {
    if (over.FitsIn({})) {
      return;
    }
    const bool reduces_excess =
        ClampToZero(over) != ClampToZero(over - task->reserved);
    if (reduces_excess) {
      over -= task->reserved;
      EvictNow(context, *task, "worker " + worker.id.str() + " has shrunk");
      context.Note(DecisionKind::kShed, *task, &worker, 1,
                   "the worker has less capacity than its tasks reserve");
    }
  }
}

std::string OverUseReason(const Task& task) {
  return "worker " + task.worker->id.str() +
         " is close to its capacity, the task uses " + task.used.ToString() +
         " and reserved " + task.reserved.ToString();
}

// Gives the next stricter order to an attempt that exceeds its reservation.
void EscalateOverUse(PlanContext& context, Task& task, bool is_near_capacity) {
  const std::string reason = OverUseReason(task);
  const bool has_grace_elapsed =
      context.now - task.ordered_at >= context.cell.options().checkpoint_grace;
  const bool may_escalate =
      task.order != wire::AttemptOrder::kRun && has_grace_elapsed;
  if (!is_near_capacity && !may_escalate) {
    return;
  }
  if (!is_near_capacity && task.order == wire::AttemptOrder::kThrottle) {
    ProposeOrder(context, task, wire::AttemptOrder::kCheckpoint, reason);
  } else {
    EvictNow(context, task, reason);
  }
  context.Note(DecisionKind::kOverUse, task, task.worker, 1, reason);
}

// Throttles attempts that are close to their reservation. An attempt that stays
// within its declared amount loses nothing by it.
void Throttle(PlanContext& context, const Worker& worker) {
  const uint32_t percent = context.cell.options().throttle_percent;
  const auto is_near_reservation = [&](const Task& task) {
    return task.order == wire::AttemptOrder::kRun &&
           !task.used.FitsIn(Percent(task.reserved, percent));
  };
  for (Task* task : TasksWith(worker, is_near_reservation)) {
    if (!context.MayOrder()) {
      return;
    }
    ProposeOrder(context, *task, wire::AttemptOrder::kThrottle,
                 OverUseReason(*task));
    context.Note(DecisionKind::kOverUse, *task, &worker, 1, task->order_reason);
  }
}

void Unthrottle(PlanContext& context, const Worker& worker) {
  const auto is_throttled = [](const Task& task) {
    return !task.IsCpuCapped() &&
           (task.order == wire::AttemptOrder::kThrottle ||
            task.order == wire::AttemptOrder::kCheckpoint);
  };
  const auto bound =
      Percent(worker.capacity,
              context.cell.options().throttle_percent - kThrottleSlackPercent);
  if (!worker.used.FitsIn(bound) ||
      worker.state == wire::WorkerState::kLeaving) {
    return;
  }
  for (Task* task : TasksWith(worker, is_throttled)) {
    ProposeOrder(context, *task, wire::AttemptOrder::kRun,
                 "worker " + worker.id.str() + " has free capacity again");
  }
}

void CheckUsage(PlanContext& context, Worker& worker) {
  const Options& options = context.cell.options();
  wire::Resources ending;
  for (const Task* task : worker.tasks) {
    ending += task->is_evicting ? task->used : wire::Resources{};
  }
  const auto staying = worker.used - ending;
  auto excess = ClampToZero(worker.used -
                            Percent(worker.capacity, options.throttle_percent));
  if (excess == wire::Resources{}) {
    Unthrottle(context, worker);
    return;
  }
  const bool is_near_capacity =
      !staying.FitsIn(Percent(worker.capacity, options.stop_percent));
  // A task is entitled to its reservation, so only tasks that exceed theirs may
  // be slowed or stopped here.
  const auto is_over = [](const Task& task) {
    return !task.used.FitsIn(task.reserved);
  };
  for (Task* task : TasksWith(worker, is_over)) {
    if (excess == wire::Resources{} || !context.MayOrder()) {
      break;
    }
    const bool is_last_step =
        is_near_capacity || task->order == wire::AttemptOrder::kCheckpoint;
    const auto over = ClampToZero(task->used - task->reserved);
    const auto remaining =
        ClampToZero(excess - (is_last_step ? task->used : over));
    if (remaining != excess) {
      excess = remaining;
      EscalateOverUse(context, *task, is_near_capacity);
    }
  }
  Throttle(context, worker);
}

uint32_t CountMovingTasks(const Job& job) {
  return static_cast<uint32_t>(
      std::ranges::count_if(job.tasks, [](const Task& task) {
        return task.phase == Phase::kPending || task.is_evicting ||
               task.phase == Phase::kInFlight;
      }));
}

// Moves services off a leaving worker. Other work may finish, but is told to
// write a checkpoint in case the worker leaves first. Returns true if some
// services couldn't be moved yet.
bool Drain(PlanContext& context, Worker& worker) {
  bool has_more = false;
  for (Task* task : TasksWith(worker, [](const Task&) { return true; })) {
    const Job& job = *task->job;
    const std::string reason = "worker " + worker.id.str() + " is leaving";
    if (job.spec.kind != wire::JobKind::kService) {
      if (task->order == wire::AttemptOrder::kRun && task->is_running) {
        ProposeOrder(context, *task, wire::AttemptOrder::kCheckpoint, reason);
      }
      continue;
    }
    const uint32_t limit =
        (job.spec.tasks + kServiceMoveDivisor - 1) / kServiceMoveDivisor;
    const bool has_destination =
        ChooseWorker(context, *task, context.cell.TaskReservation(job))
            .worker != nullptr;
    if (!has_destination || CountMovingTasks(job) >= limit) {
      has_more = true;
      continue;
    }
    EvictNow(context, *task, reason);
    context.Note(DecisionKind::kShed, *task, &worker, 1, reason);
  }
  return has_more;
}

}  // namespace

void WorkerWatch::Run(PlanContext& context) {
  std::set<uint32_t> later;
  for (uint32_t slot : slots_to_check_) {
    if (!context.MayOrder()) {
      context.plan.has_more = true;
      later.insert(slot);
      continue;
    }
    Worker& worker = context.cell.workers()[slot];
    if (!worker.is_present) {
      continue;
    }
    if (!worker.reserved.FitsIn(worker.capacity)) {
      EvictExcess(context, worker);
    }
    CheckUsage(context, worker);
    const bool is_leaving = worker.state == wire::WorkerState::kLeaving;
    if (is_leaving && Drain(context, worker)) {
      later.insert(slot);
    }
  }
  slots_to_check_ = std::move(later);
}

}  // namespace sassafras::placement
