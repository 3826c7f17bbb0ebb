// Applies the ends of runs to the job table: which of two ends of a run counts,
// and what an end says about its task, its step and its job.

#include <algorithm>
#include <chrono>
#include <ranges>
#include <vector>

#include "jobs/crash.h"
#include "jobs/job_table.h"

namespace sassafras::jobs {

// A report may follow the presumed end of its run, when the worker has been
// removed.
void JobTable::End(const EndRun& end) {
  const bool was_open = CloseRun(end);
  const auto job = jobs_.find(end.task.step.job);
  if (job == jobs_.end()) {
    return;
  }
  const bool has_run = !end.is_presumed && end.outcome != RunOutcome::kRejected;
  job->second.has_started |= has_run;
  if (was_open || !end.is_presumed) {
    RecordEnd(job->second, end, was_open);
    changes_.changed_steps.push_back(end.task.step);
  }
  if (job->second.phase == JobPhase::kActive) {
    ReleaseOccurrence(job->second, end.task.step.occurrence);
  } else {
    ReleaseEnded(job->second);
  }
}

// Removes the run from its worker. Returns whether it was open there.
bool JobTable::CloseRun(const EndRun& end) {
  const auto it = workers_.find(end.worker.id);
  if (it == workers_.end() || it->second.info.boot != end.worker) {
    return false;
  }
  std::vector<OpenRun>& runs = it->second.runs;
  const auto ended = std::ranges::find_if(runs, [&](const OpenRun& open) {
    return open.run == end.run && open.task == end.task;
  });
  if (ended == runs.end()) {
    return false;
  }
  it->second.load.Remove(*ended);
  customer_loads_.Remove(it->second.info.service, *ended);
  runs.erase(ended);
  return true;
}

void JobTable::RecordEnd(JobRecord& job, const EndRun& end, bool was_open) {
  StepRecord* step = FindStep(end.task.step);
  if (step != nullptr && end.task.index < step->tasks.size()) {
    RecordEndOfTask(job, *step, end, was_open);
    step->tasks.Settle(end.task.index);
  }
}

// Counting an end may release the record of the task.
void JobTable::RecordEndOfTask(JobRecord& job,
                               StepRecord& step,
                               const EndRun& end,
                               bool was_open) {
  TaskRecord& task = step.tasks.Change(end.task.index);
  if (!end.is_presumed) {
    TakeBackCrash(task, end);
  }
  const bool is_copy = end.run == task.copy && end.run != task.run;
  if (is_copy || (end.run == task.run && was_open && task.is_copy_open)) {
    RecordEndOfPair(job, step, end, was_open);
    return;
  }
  if (end.run < task.run && end.outcome == RunOutcome::kDone) {
    CountEnd(job, step, end);
    AddSurplusRuns(end);
    return;
  }
  const bool is_expected = was_open ? task.is_open : task.is_end_presumed;
  if (task.run != end.run || !is_expected) {
    return;
  }
  if (was_open) {
    task.is_open = false;
    --step.open;
    step.surplus -= task.is_done ? 1 : 0;
  }
  task.is_end_presumed = end.is_presumed;
  if (end.is_presumed && end.crash_role != CrashRole::kNone) {
    CountCrash(job, task, end);
  }
  CountEnd(job, step, end);
}

// A copy that fails counts against the job's attempts only once it has taken
// the place of its run: otherwise a task that fails by itself would use two.
void JobTable::RecordEndOfPair(JobRecord& job,
                               StepRecord& step,
                               const EndRun& end,
                               bool was_open) {
  TaskRecord& task = step.tasks.Change(end.task.index);
  const bool is_copy = end.run != task.run;
  if (was_open) {
    task.is_copy_open = false;
    task.run = is_copy ? task.run : task.copy;
  }
  if (was_open && end.is_presumed && end.crash_role != CrashRole::kNone) {
    CountCrash(job, task, end);
  }
  if (end.outcome == RunOutcome::kDone) {
    CountEnd(job, step, end);
    AddSurplusRuns(end);
  } else if (!is_copy) {
    CountEnd(job, step, end);
  }
}

// A run that ended by itself didn't crash its worker, and that of a task that
// has crashed others would have. A report shows that the loss that had been
// presumed wasn't caused by the run, also when a later run has been started.
void JobTable::TakeBackCrash(TaskRecord& task, const EndRun& report) {
  const bool ended_by_itself = report.outcome == RunOutcome::kDone ||
                               report.outcome == RunOutcome::kFailed;
  std::erase_if(task.crashes, [&](auto& it) {
    return ended_by_itself || it.run == report.run;
  });
}

void JobTable::CountCrash(JobRecord& job, TaskRecord& task, const EndRun& end) {
  task.crashes.push_back(
      {end.worker, end.run, end.crash_role, end.crashed_at_ms});
  if (job.phase == JobPhase::kActive &&
      IsCrashCause(task.crashes, MaxAttempts(job))) {
    changes_.crash_causes.push_back({end.task, task.crashes});
    EndJob(job, JobPhase::kFailed);
  }
}

void JobTable::Prove(const ProvenRun& proven) {
  StepRecord* step = FindStep(proven.task.step);
  if (step == nullptr || proven.task.index >= step->tasks.size()) {
    return;
  }
  const TaskRecord& task = step->tasks[proven.task.index];
  if (task.run == proven.run && task.is_open) {
    step->tasks.Change(proven.task.index).crashes.clear();
  }
}

void JobTable::CountEnd(JobRecord& job, StepRecord& step, const EndRun& end) {
  const bool was_done = step.IsDone();
  if (job.spec.steps[end.task.step.step].is_gang) {
    RecordGangEnd(job, step, end);
  } else {
    RecordTaskEnd(job, step, end);
  }
  if (job.phase == JobPhase::kActive && !was_done && step.IsDone()) {
    FinishStep(job, end.task.step.occurrence);
  }
}

// A copy of `done.run` is open, or its end was presumed before it was reported,
// and the task or its gang was started again in between.
void JobTable::AddSurplusRuns(const EndRun& done) {
  const StepRecord& step = *FindStep(done.task.step);
  for (const WorkerRecord& worker : workers_ | std::views::values) {
    for (const OpenRun& it : worker.runs) {
      if (it.task.step == done.task.step && it.run != done.run &&
          step.tasks[it.task.index].is_done) {
        changes_.surplus_runs.push_back({it.task, it.run, worker.info.boot});
      }
    }
  }
}

// The success of one member completes the whole gang. Failures of several
// members count once per run.
void JobTable::RecordGangEnd(JobRecord& job,
                             StepRecord& step,
                             const EndRun& end) {
  if (!end.checkpoint.empty()) {
    step.checkpoint = end.checkpoint;
  }
  if (end.outcome == RunOutcome::kDone) {
    step.tasks.FinishAll();
    step.done = step.tasks.size();
    step.surplus = step.open;
  } else if (end.outcome == RunOutcome::kFailed && end.run > step.last_failed) {
    step.last_failed = end.run;
    ++step.failed_runs;
    const bool is_lasting = job.spec.steps[end.task.step.step].is_lasting;
    if (!is_lasting && !step.IsDone() && step.failed_runs >= MaxAttempts(job)) {
      EndJob(job, JobPhase::kFailed);
    }
  }
}

void JobTable::RecordTaskEnd(JobRecord& job,
                             StepRecord& step,
                             const EndRun& end) {
  TaskRecord& task = step.tasks.Change(end.task.index);
  const bool is_lasting = job.spec.steps[end.task.step.step].is_lasting;
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
  }
  if (task.is_done || is_lasting) {
    return;
  }
  if (end.outcome == RunOutcome::kDone) {
    task.is_done = true;
    ++step.done;
    step.surplus += task.is_open ? 1 : 0;
    AddDoneRun(job, step, end);
  } else if (end.outcome == RunOutcome::kFailed &&
             ++task.failures >= MaxAttempts(job)) {
    EndJob(job, JobPhase::kFailed);
  }
}

// Fillers run at varying paces, and tasks near their data are faster than
// others of their step. Nobody needs the times of a job that has ended.
void JobTable::AddDoneRun(const JobRecord& job,
                          const StepRecord& step,
                          const EndRun& end) {
  if (job.phase != JobPhase::kActive) {
    return;
  }
  const StepSpec& spec = job.spec.steps[end.task.step.step];
  const bool is_comparable = !spec.is_filler && spec.data_rack.empty();
  changes_.done_runs.push_back(
      {end.task.step, end.worker,
       std::chrono::milliseconds(is_comparable ? end.took_ms : 0),
       step.IsDone()});
}

void JobTable::FinishStep(JobRecord& job, uint64_t occurrence) {
  const auto& steps = job.occurrences.at(occurrence);
  if (!std::ranges::all_of(steps, [](auto& it) { return it.IsDone(); })) {
    return;
  }
  ++job.finished_occurrences;
  if (job.finished_occurrences == job.spec.OccurrenceCount()) {
    EndJob(job, JobPhase::kCompleted);
  }
}

}  // namespace sassafras::jobs
