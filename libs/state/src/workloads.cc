// Keeps one service job per workload that the document declares.

#include <algorithm>
#include <string>
#include <vector>

#include "ended_jobs.h"
#include "jobs.h"
#include "tasks.h"

namespace sassafras::state {
namespace {

using wire::TaskState;

wire::JobSpec ToSpec(const document::Workload& workload) {
  wire::JobSpec spec;
  spec.id = workload.job_id();
  spec.owner = workload.owner;
  spec.workload = workload.name;
  spec.kind = wire::JobKind::kService;
  spec.priority = workload.priority;
  spec.tasks = workload.instances;
  spec.per_task = workload.per_instance;
  spec.payload = workload.payload;
  return spec;
}

// Stops or cancels surplus tasks, from the highest index down.
void StopSurplusTasks(Store& store, JobRecord& job) {
  for (auto n = static_cast<uint32_t>(job.tasks.size()); n > job.spec.tasks;) {
    --n;
    if (job.tasks[n].IsPlaced()) {
      StopTask(store, job, n, wire::AttemptOrder::kStop,
               "the declared count went down");
    } else if (!job.tasks[n].IsEnded()) {
      MoveTask(store, job, n, TaskState::kCancelled,
               "the declared count went down");
    }
  }
}

// Requeues tasks that ended while the workload was withdrawn or smaller, and
// adds missing tasks.
void AddMissingTasks(Store& store, JobRecord& job) {
  const auto end = std::min<size_t>(job.tasks.size(), job.spec.tasks);
  for (uint32_t n = 0; n < end; ++n) {
    if (job.tasks[n].IsEnded()) {
      MoveTask(store, job, n,
               job.state == JobState::kParked ? TaskState::kParked
                                              : TaskState::kPending);
    }
  }
  while (job.tasks.size() < job.spec.tasks) {
    AddTask(store, job);
  }
}

void UpdateDeclaredJob(Store& store,
                       JobRecord& job,
                       const wire::JobSpec& spec) {
  const bool is_same = job.goal == JobGoal::kRun &&
                       nlohmann::json(job.spec) == nlohmann::json(spec);
  if (is_same) {
    return;
  }
  const bool is_outdated =
      !(job.spec.per_task == spec.per_task) || job.spec.payload != spec.payload;
  job.generation += is_outdated ? 1 : 0;
  if (job.goal != JobGoal::kRun) {
    job.goal = JobGoal::kRun;
    job.reason.clear();
  }
  job.spec = spec;
  StopSurplusTasks(store, job);
  AddMissingTasks(store, job);
  store.Emit(JobChanged{spec.id});
  UpdateJobState(store, job);
}

void ReconcileWorkload(Store& store, const wire::JobSpec& spec) {
  const auto it = store.jobs.find(spec.id);
  const bool is_live = it != store.jobs.end() && !it->second.IsEnded() &&
                       it->second.spec.owner == spec.owner;
  if (is_live) {
    UpdateDeclaredJob(store, it->second, spec);
    return;
  }
  if (it != store.jobs.end() && !it->second.IsEnded()) {
    // The job of a previous owner is still ending. Its end triggers another
    // reconciliation, which adds the new job.
    return;
  }
  if (it != store.jobs.end()) {
    ForgetJob(store, spec.id);
  }
  AddJob(store, spec);
}

bool IsDeclared(const std::vector<document::Workload>& workloads,
                const wire::JobId& id) {
  const auto it =
      std::ranges::lower_bound(workloads, id, {}, &document::Workload::job_id);
  return it != workloads.end() && it->job_id() == id;
}

// Returns the service jobs that are no longer declared and neither ended nor
// being cancelled.
std::vector<wire::JobId> FindWithdrawn(const Store& store) {
  std::vector<wire::JobId> withdrawn;
  const wire::JobId first{std::string(kServiceJobPrefix)};
  for (auto it = store.jobs.lower_bound(first);
       it != store.jobs.end() && it->first.str().starts_with(kServiceJobPrefix);
       ++it) {
    const bool is_running =
        !it->second.IsEnded() && it->second.goal != JobGoal::kCancel;
    if (is_running && !IsDeclared(store.document.workloads(), it->first)) {
      withdrawn.push_back(it->first);
    }
  }
  return withdrawn;
}

}  // namespace

void ReconcileWorkloads(Store& store) {
  for (const wire::JobId& id : FindWithdrawn(store)) {
    JobRecord& job = store.jobs.at(id);
    StopJob(store, job, JobGoal::kCancel, "no longer declared");
    UpdateJobState(store, job);
  }
  for (const document::Workload& it : store.document.workloads()) {
    ReconcileWorkload(store, ToSpec(it));
  }
}

}  // namespace sassafras::state
