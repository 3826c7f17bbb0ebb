// Derives the state of a job from the states of its tasks.

#include <algorithm>

#include "ended_jobs.h"
#include "tasks.h"

namespace sassafras::state {
namespace {

using wire::TaskState;

JobState FinalState(const JobRecord& job) {
  if (job.goal == JobGoal::kFail) {
    return JobState::kFailed;
  }
  const bool is_all_done = job.Count(TaskState::kDone) == job.tasks.size();
  const bool is_done =
      job.goal == JobGoal::kRun || (is_all_done && !job.tasks.empty());
  return is_done ? JobState::kDone : JobState::kCancelled;
}

// Removes the surplus tasks of a shrunk service once they have ended.
void RemoveSurplus(Store& store, JobRecord& job) {
  while (job.tasks.size() > job.spec.tasks && job.tasks.back().IsEnded()) {
    --job.counts[static_cast<size_t>(job.tasks.back().state)];
    --store.usage[job.spec.owner].tasks;
    job.tasks.pop_back();
  }
}

// Performs a rolling replacement of instances with outdated resources or
// payload: stops one at a time, and only while all instances are running.
void ReplaceOutdated(Store& store, JobRecord& job) {
  if (job.Count(TaskState::kRunning) != job.tasks.size()) {
    return;
  }
  const auto it = std::ranges::find_if(job.tasks, [&](const TaskRecord& task) {
    return task.generation != job.generation;
  });
  if (it != job.tasks.end()) {
    const auto index = static_cast<uint32_t>(it - job.tasks.begin());
    StopTask(store, job, index, wire::AttemptOrder::kStop,
             "its declaration changed");
  }
}

}  // namespace

void UpdateJobState(Store& store, JobRecord& job) {
  if (job.IsEnded()) {
    return;
  }
  if (job.goal == JobGoal::kRestart && job.CountPlaced() == 0) {
    job.goal = JobGoal::kRun;
    store.Emit(JobChanged{job.spec.id});
  }
  const bool is_running_service =
      job.spec.kind == wire::JobKind::kService && job.goal == JobGoal::kRun;
  if (is_running_service) {
    RemoveSurplus(store, job);
    ReplaceOutdated(store, job);
  } else if (job.CountEnded() == job.tasks.size()) {
    EndJob(store, job, FinalState(job));
  }
}

}  // namespace sassafras::state
