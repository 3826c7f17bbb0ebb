// State transitions of single tasks: placement, stopping and the ends of
// attempts.

#include "tasks.h"

#include <utility>

namespace sassafras::state {
namespace {

using wire::TaskState;

// Adds the reservation of an attempt to the sums of its worker and owner.
void AddReservation(Store& store, const JobRecord& job, uint32_t index) {
  const TaskRecord& task = job.tasks[index];
  WorkerRecord& worker = store.workers.at(task.worker);
  worker.tasks.insert({job.spec.id, index});
  worker.reserved += task.reserved;
  store.usage[job.spec.owner].reserved += task.reserved;
}

// Subtracts the reservation of an attempt from the sums of its worker and
// owner.
void RemoveReservation(Store& store, const JobRecord& job, uint32_t index) {
  const TaskRecord& task = job.tasks[index];
  WorkerRecord& worker = store.workers.at(task.worker);
  worker.tasks.erase({job.spec.id, index});
  worker.reserved -= task.reserved;
  store.usage[job.spec.owner].reserved -= task.reserved;
}

void UpdateCounts(JobRecord& job, TaskState before, TaskState after) {
  --job.counts[static_cast<size_t>(before)];
  ++job.counts[static_cast<size_t>(after)];
}

void EmitTask(Store& store,
              const JobRecord& job,
              uint32_t index,
              TaskState before,
              bool has_failed) {
  const TaskRecord& task = job.tasks[index];
  store.Emit(TaskChanged{{job.spec.id, index},
                         before,
                         task.state,
                         task.attempt,
                         task.worker,
                         task.reserved,
                         has_failed});
}

bool IsEnding(const JobRecord& job) {
  return job.goal == JobGoal::kCancel || job.goal == JobGoal::kFail;
}

// Returns the next state of a task that has no attempt and has not ended.
TaskState WaitingState(const JobRecord& job, uint32_t index) {
  if (IsEnding(job) || index >= job.spec.tasks) {
    return TaskState::kCancelled;
  }
  return job.state == JobState::kParked ? TaskState::kParked
                                        : TaskState::kPending;
}

std::string WaitingReason(const TaskRecord& task,
                          TaskState after,
                          const std::string& reason) {
  if (after != TaskState::kCancelled) {
    return reason;
  }
  return task.has_started ? "stopped after it may have started"
                          : "cancelled before it started";
}

// Restarts a gang after one of its tasks lost its attempt: stops all other
// attempts and requeues the tasks that are done.
void RestartGang(Store& store, JobRecord& job, const std::string& reason) {
  job.goal = JobGoal::kRestart;
  job.reason = reason;
  for (uint32_t n = 0; n < job.tasks.size(); ++n) {
    if (job.tasks[n].IsPlaced()) {
      StopTask(store, job, n, wire::AttemptOrder::kStop, reason);
    } else if (job.tasks[n].state == TaskState::kDone) {
      MoveTask(store, job, n, WaitingState(job, n), reason);
    }
  }
  store.Emit(JobChanged{job.spec.id});
}

// Moves a task whose attempt ended back to waiting, or cancels it. In a running
// gang this also restarts all other tasks.
void Requeue(Store& store,
             JobRecord& job,
             uint32_t index,
             const std::string& reason,
             bool has_failed) {
  const TaskState after = WaitingState(job, index);
  const std::string text = WaitingReason(job.tasks[index], after, reason);
  MoveTask(store, job, index, after, text, has_failed);
  const bool restarts_gang =
      job.spec.kind == wire::JobKind::kGang && job.goal == JobGoal::kRun;
  if (restarts_gang) {
    RestartGang(store, job, reason);
  }
}

}  // namespace

wire::AttemptId PlaceTask(Store& store,
                          JobRecord& job,
                          uint32_t index,
                          const Placement& placement) {
  store.last_attempt = store.last_attempt.Next();
  TaskRecord& task = job.tasks[index];
  const TaskState before = task.state;
  task.state = TaskState::kAssigned;
  task.attempt = store.last_attempt;
  task.worker = placement.worker;
  task.incarnation = placement.incarnation;
  task.reserved = placement.reserved;
  // An attempt that reserves less CPU than declared starts throttled, so that
  // its usage can't exceed the reservation.
  const bool is_throttled =
      placement.reserved.milli_cpus < job.spec.per_task.milli_cpus;
  task.order =
      is_throttled ? wire::AttemptOrder::kThrottle : wire::AttemptOrder::kRun;
  task.generation = job.generation;
  task.reason.clear();
  UpdateCounts(job, before, task.state);
  AddReservation(store, job, index);
  EmitTask(store, job, index, before, false);
  return task.attempt;
}

void MoveTask(Store& store,
              JobRecord& job,
              uint32_t index,
              TaskState after,
              std::string reason,
              bool has_failed) {
  TaskRecord& task = job.tasks[index];
  const TaskState before = task.state;
  const bool was_placed = task.IsPlaced();
  task.state = after;
  task.reason = ShortReason(reason);
  UpdateCounts(job, before, after);
  const bool is_released = was_placed && !task.IsPlaced();
  if (is_released) {
    RemoveReservation(store, job, index);
  }
  EmitTask(store, job, index, before, has_failed);
  if (is_released) {
    task.reserved = {};
    task.order = wire::AttemptOrder::kRun;
  }
}

void AddTask(Store& store, JobRecord& job) {
  const auto index = static_cast<uint32_t>(job.tasks.size());
  TaskRecord& task = job.tasks.emplace_back();
  task.state = WaitingState(job, index);
  ++job.counts[static_cast<size_t>(task.state)];
  ++store.usage[job.spec.owner].tasks;
  EmitTask(store, job, index, task.state, false);
}

void StopTask(Store& store,
              JobRecord& job,
              uint32_t index,
              wire::AttemptOrder order,
              const std::string& reason) {
  TaskRecord& task = job.tasks[index];
  const bool is_already_stopping =
      task.state == TaskState::kStopping && task.order >= order;
  if (is_already_stopping) {
    return;
  }
  task.order = order;
  MoveTask(store, job, index, TaskState::kStopping, reason);
}

void EndAttempt(Store& store,
                JobRecord& job,
                uint32_t index,
                const AttemptEnd& end) {
  TaskRecord& task = job.tasks[index];
  task.has_started = task.has_started || end.has_started;
  Requeue(store, job, index, end.reason, false);
}

void FailAttempt(Store& store,
                 JobRecord& job,
                 uint32_t index,
                 const std::string& reason) {
  TaskRecord& task = job.tasks[index];
  task.has_started = true;
  if (task.state == TaskState::kStopping) {
    Requeue(store, job, index, reason, false);
    return;
  }
  ++task.failures;
  const bool is_final = job.spec.kind != wire::JobKind::kService &&
                        task.failures >= job.spec.max_attempts;
  if (!is_final) {
    Requeue(store, job, index, reason, true);
    return;
  }
  const std::string why = "task " + std::to_string(index) + " failed " +
                          std::to_string(task.failures) +
                          " times, last: " + reason;
  MoveTask(store, job, index, TaskState::kFailed, reason, true);
  StopJob(store, job, JobGoal::kFail, why);
}

void FinishAttempt(Store& store, JobRecord& job, uint32_t index) {
  TaskRecord& task = job.tasks[index];
  task.has_started = true;
  const bool runs_again =
      job.spec.kind == wire::JobKind::kService || job.goal == JobGoal::kRestart;
  if (runs_again) {
    Requeue(store, job, index, "exited", false);
  } else {
    MoveTask(store, job, index, TaskState::kDone);
  }
}

void StopJob(Store& store,
             JobRecord& job,
             JobGoal goal,
             const std::string& reason) {
  job.goal = goal;
  job.reason = ShortReason(reason);
  job.state = JobState::kActive;
  for (uint32_t n = 0; n < job.tasks.size(); ++n) {
    const TaskRecord& task = job.tasks[n];
    if (task.IsPlaced()) {
      StopTask(store, job, n, wire::AttemptOrder::kStop, reason);
    } else if (!task.IsEnded()) {
      const std::string text =
          WaitingReason(task, TaskState::kCancelled, reason);
      MoveTask(store, job, n, TaskState::kCancelled, text);
    }
  }
  store.Emit(JobChanged{job.spec.id});
}

}  // namespace sassafras::state
