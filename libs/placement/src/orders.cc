// Each task has at most one timer. Its meaning depends on the task's state.

#include "orders.h"

namespace sassafras::placement {
namespace {

base::Duration RetryDelay(const Options& options, wire::AttemptOrder order) {
  return order == wire::AttemptOrder::kCheckpoint
             ? options.checkpoint_grace
             : options.order_retry_interval;
}

void ReleaseAfterProbe(PlanContext& context, Task& task) {
  Worker& worker = *task.worker;
  task.is_probe = false;
  worker.health.Release();
  worker.quarantine_proposed = context.now;
  context.plan.quarantines.push_back({worker.id, false, "the probe task runs"});
  context.Note(DecisionKind::kRelease, task, &worker, 1, "probe task runs");
}

void OnTimer(PlanContext& context, Task& task) {
  if (task.phase == Phase::kPending) {
    context.cell.Unclaim(task);  // the claimed capacity wasn't freed in time
    return;
  }
  if (task.phase != Phase::kActive || task.worker == nullptr) {
    return;
  }
  const auto order = task.order;
  if (order == wire::AttemptOrder::kCheckpoint && task.is_evicting) {
    ProposeOrder(context, task, wire::AttemptOrder::kStop, task.order_reason);
  } else if (!task.is_order_committed) {
    ProposeOrder(context, task, order, task.order_reason);
  } else if (task.backfill_deadline && !task.is_evicting) {
    EvictWithCheckpoint(context, task,
                        "the reservation whose capacity it backfills is due");
  } else if (task.is_probe && task.worker->is_quarantined) {
    ReleaseAfterProbe(context, task);
  }
}

}  // namespace

void ProposeOrder(PlanContext& context,
                  Task& task,
                  wire::AttemptOrder order,
                  std::string reason) {
  task.order = order;
  task.is_order_committed = false;
  task.ordered_at = context.now;
  task.order_reason = std::move(reason);
  context.cell.SetTimer(
      task, context.now + RetryDelay(context.cell.options(), order));
  context.plan.orders.push_back(
      {task.Id(), task.attempt, order, task.order_reason});
}

void EvictWithCheckpoint(PlanContext& context,
                         Task& task,
                         const std::string& reason) {
  if (!task.is_running) {
    EvictNow(context, task, reason);
    return;
  }
  context.cell.MarkEvicting(task);
  ProposeOrder(context, task, wire::AttemptOrder::kCheckpoint, reason);
}

void EvictNow(PlanContext& context, Task& task, const std::string& reason) {
  context.cell.MarkEvicting(task);
  ProposeOrder(context, task, wire::AttemptOrder::kStop, reason);
}

void ConfirmOrder(Cell& cell, Task& task, wire::AttemptOrder order) {
  if (order == wire::AttemptOrder::kStop) {
    cell.MarkEvicting(task);
  } else if (task.order != order) {
    // The order comes from an earlier leader, or a newer one replaced it. It is
    // ignored while the newer order isn't committed.
    if (!task.is_order_committed) {
      return;
    }
  }
  task.order = order;
  task.is_order_committed = true;
  const bool is_awaiting_checkpoint =
      order == wire::AttemptOrder::kCheckpoint && task.is_evicting;
  if (is_awaiting_checkpoint) {
    return;
  }
  cell.ClearTimer(task);
  if (task.backfill_deadline && !task.is_evicting) {
    cell.SetTimer(task,
                  *task.backfill_deadline - cell.options().checkpoint_grace);
  }
}

void RunTimers(PlanContext& context) {
  while (context.MayOrder()) {
    Task* task = context.cell.DueTimer(context.now);
    if (task == nullptr) {
      return;
    }
    OnTimer(context, *task);
  }
  context.plan.has_more = true;
}

}  // namespace sassafras::placement
