// Limits and retention of ended jobs, by owner.

#include "ended_jobs.h"

#include <utility>

namespace sassafras::state {
namespace {

// Removes the task records and the payload. The remaining record is enough to
// detect a resubmission.
void CompactJob(OwnerUsage& usage, JobRecord& job) {
  usage.uncompacted.erase({job.ended_ms, job.spec.id});
  usage.ended_tasks -= static_cast<int64_t>(job.tasks.size());
  job.is_compacted = true;
  job.tasks = {};
  job.counts = {};
  job.spec.payload = {};
}

void TrimOwner(Store& store, OwnerUsage& usage) {
  const document::Limits& limits = store.document.limits();
  while (usage.ended_tasks > limits.max_ended_tasks_per_owner &&
         usage.uncompacted.size() > 1) {
    CompactJob(usage, store.jobs.at(usage.uncompacted.begin()->second));
  }
  while (static_cast<int64_t>(usage.ended.size()) >
         limits.max_ended_jobs_per_owner) {
    ForgetJob(store, usage.ended.begin()->second);
  }
}

}  // namespace

void EndJob(Store& store, JobRecord& job, JobState state) {
  job.state = state;
  job.ended_ms = store.clock_ms;
  store.usage[job.spec.owner].tasks -= static_cast<int64_t>(job.tasks.size());
  IndexEndedJob(store, job);
  store.owners_to_trim.insert(job.spec.owner);
  store.needs_reconcile |= job.spec.kind == wire::JobKind::kService;
  store.Emit(JobEnded{job.spec.id});
}

void IndexEndedJob(Store& store, const JobRecord& job) {
  OwnerUsage& usage = store.usage[job.spec.owner];
  usage.ended.emplace(job.ended_ms, job.spec.id);
  if (!job.is_compacted) {
    usage.uncompacted.emplace(job.ended_ms, job.spec.id);
    usage.ended_tasks += static_cast<int64_t>(job.tasks.size());
  }
}

void ForgetJob(Store& store, wire::JobId id) {
  const auto it = store.jobs.find(id);
  OwnerUsage& usage = store.usage[it->second.spec.owner];
  const OwnerUsage::EndedJob key = {it->second.ended_ms, id};
  usage.ended.erase(key);
  if (usage.uncompacted.erase(key) > 0) {
    usage.ended_tasks -= static_cast<int64_t>(it->second.tasks.size());
  }
  store.jobs.erase(it);
  store.Emit(JobForgotten{std::move(id)});
}

void TrimEndedJobs(Store& store) {
  for (const wire::OwnerId& owner : std::exchange(store.owners_to_trim, {})) {
    TrimOwner(store, store.usage[owner]);
  }
}

size_t ExpireJobs(Store& store) {
  const base::WallMs oldest =
      store.clock_ms - store.document.limits().job_retention_ms;
  size_t count = 0;
  for (auto& [owner, usage] : store.usage) {
    while (!usage.ended.empty() && usage.ended.begin()->first <= oldest) {
      ForgetJob(store, usage.ended.begin()->second);
      ++count;
    }
  }
  return count;
}

}  // namespace sassafras::state
