#include "fake_cell.h"

#include <algorithm>

namespace sassafras::placement {
namespace {

Scheduler MakeScheduler(const Options& options, uint64_t seed) {
  PlacementReason why;
  return *Scheduler::Create(options, seed, why);
}

}  // namespace

wire::JobSpec MakeBatchJob(const std::string& id,
                           const std::string& owner,
                           const wire::Resources& per_task,
                           uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = wire::JobId(id);
  spec.owner = wire::OwnerId(owner);
  spec.per_task = per_task;
  spec.tasks = tasks;
  return spec;
}

void AddWorkers(FakeCell& cell,
                uint32_t per_zone,
                const wire::Resources& capacity,
                const std::string& prefix) {
  for (uint32_t zone = 0; zone < 3; ++zone) {
    for (uint32_t n = 0; n < per_zone; ++n) {
      cell.AddWorker(prefix + std::to_string(zone) + "-" + std::to_string(n),
                     "zone-" + std::to_string(zone),
                     "rack-" + std::to_string(n % 2), capacity);
    }
  }
}

wire::JobSpec MakeServiceJob(const std::string& id,
                             const std::string& owner,
                             const wire::Resources& per_task,
                             uint32_t tasks) {
  auto spec = MakeBatchJob(id, owner, per_task, tasks);
  spec.kind = wire::JobKind::kService;
  return spec;
}

wire::JobSpec MakeGangJob(const std::string& id,
                          const std::string& owner,
                          const wire::Resources& per_task,
                          uint32_t tasks) {
  auto spec = MakeServiceJob(id, owner, per_task, tasks);
  spec.kind = wire::JobKind::kGang;
  return spec;
}

FakeCell::FakeCell(const Options& options, uint64_t seed)
    : scheduler(MakeScheduler(options, seed)), options_(options) {}

void FakeCell::PutOwner(const std::string& owner,
                        uint32_t weight,
                        std::optional<wire::Resources> quota) {
  owners[owner] = {wire::OwnerId(owner), weight, quota};
  Apply(owners[owner]);
}

void FakeCell::AddWorker(const std::string& id,
                         const std::string& zone,
                         const std::string& rack,
                         const wire::Resources& capacity) {
  PutWorker({wire::WorkerId(id), wire::Incarnation("1"), wire::ZoneId(zone),
             wire::RackId(rack), wire::WorkerState::kReady, capacity});
}

void FakeCell::PutWorker(const placement::PutWorker& registration) {
  workers[registration.worker].registration = registration;
  Apply(registration);
}

void FakeCell::RemoveWorker(const wire::WorkerId& id) {
  const auto tasks = workers.at(id).tasks;
  Apply(placement::RemoveWorker{id});
  for (const wire::TaskId& it : tasks) {
    EndAttempt({it, task(it).attempt, TaskOutcome::kLost});
  }
  workers.erase(id);
  quarantined.erase(id);
}

std::optional<std::string> FakeCell::Submit(const wire::JobSpec& spec) {
  if (auto why = scheduler.WhyInfeasible(spec)) {
    return why;
  }
  FakeJob& job = jobs[spec.id];
  job.spec = spec;
  job.submitted = now;
  Apply(PutJob{spec, now});
  while (job.tasks.size() < spec.tasks) {
    job.tasks.push_back({.pending_since = now});
    Apply(TaskPending{{spec.id, static_cast<uint32_t>(job.tasks.size() - 1)}});
  }
  return std::nullopt;
}

void FakeCell::Cancel(const wire::JobId& id) {
  FakeJob& job = jobs.at(id);
  if (job.is_cancelled) {
    return;
  }
  job.is_cancelled = true;
  Apply(RemoveJob{id});
  for (uint32_t n = 0; n < job.tasks.size(); ++n) {
    FakeTask& it = job.tasks[n];
    if (it.state == wire::TaskState::kPending) {
      it.state = wire::TaskState::kCancelled;
    } else if (it.state == wire::TaskState::kRunning) {
      CommitOrder({{id, n}, it.attempt, wire::AttemptOrder::kStop, "cancel"});
    }
  }
}

void FakeCell::ReportUsage() {
  for (const auto& [id, worker] : workers) {
    Usage usage{id, {}};
    for (const wire::TaskId& it : worker.tasks) {
      const FakeTask& fake_task = task(it);
      usage.samples.push_back({it, fake_task.attempt,
                               actual_usage
                                   ? actual_usage(jobs.at(it.job), fake_task)
                                   : fake_task.reserved});
    }
    Apply(usage);
  }
}

void FakeCell::PlanUntilEmpty() {
  constexpr int kMaxPlans = 2000;
  for (int n = 0; n < kMaxPlans; ++n) {
    const placement::Plan plan = PlanOnce();
    if (plan.IsEmpty() && !plan.has_more) {
      return;
    }
  }
  const placement::Plan last = PlanOnce();
  violation = "plans did not become empty within the limit of calls";
  for (const Decision& it : last.decisions) {
    violation +=
        ", " + it.task.ToString() + " on " + it.worker.str() + ": " + it.why;
  }
  violation += last.orders.empty() ? "" : ", order " + last.orders[0].reason;
}

placement::Plan FakeCell::PlanOnce(const PlanLimits& limits) {
  placement::Plan plan = scheduler.MakePlan(now, limits);
  Commit(plan);
  return plan;
}

void FakeCell::Commit(const placement::Plan& plan) {
  std::ranges::for_each(plan.groups, [&](const auto& it) { CommitGroup(it); });
  std::ranges::for_each(plan.orders, [&](const auto& it) { CommitOrder(it); });
  for (const wire::ParkJob& park : plan.parks) {
    jobs.at(park.job).park_reason = park.reason;
    Apply(JobParked{park.job, park.reason});
  }
  for (const wire::SetQuarantine& it : plan.quarantines) {
    if (it.is_quarantined) {
      quarantined.insert(it.worker);
    } else {
      quarantined.erase(it.worker);
    }
    Apply(SetQuarantine{it.worker, it.is_quarantined});
  }
  decisions.insert(decisions.end(), plan.decisions.begin(),
                   plan.decisions.end());
}

void FakeCell::RebuildScheduler(uint64_t seed) {
  scheduler = MakeScheduler(options_, seed);
  for (const auto& [id, owner] : owners) {
    Apply(owner);
  }
  for (const auto& [id, worker] : workers) {
    Apply(worker.registration);
    Apply(SetQuarantine{id, quarantined.contains(id)});
  }
  for (const auto& [id, job] : jobs) {
    Apply(PutJob{job.spec, job.submitted});
    for (uint32_t n = 0; n < job.tasks.size(); ++n) {
      const FakeTask& it = job.tasks[n];
      const wire::TaskId task_id{id, n};
      if (it.state == wire::TaskState::kPending) {
        Apply(TaskPending{task_id});
      } else if (it.state == wire::TaskState::kRunning ||
                 it.state == wire::TaskState::kStopping) {
        Apply(TaskAssigned{task_id, it.attempt, it.worker, it.reserved});
        Apply(TaskRunning{task_id, it.attempt});
        Apply(TaskOrdered{task_id, it.attempt, it.order});
      }
      if (it.state == wire::TaskState::kStopping) {
        Apply(TaskStopping{task_id, it.attempt});
      }
    }
    Apply(JobParked{id, job.park_reason});
    if (job.is_cancelled) {
      Apply(RemoveJob{id});
    }
  }
}

void FakeCell::Run(base::Duration duration, base::Duration step) {
  const base::Instant end = now + duration;
  PlanUntilEmpty();
  while (now < end) {
    now = std::min(end, now + step);
    while (!scheduled_ends_.empty() && scheduled_ends_.begin()->first <= now) {
      const ScheduledEnd scheduled_end = scheduled_ends_.begin()->second;
      scheduled_ends_.erase(scheduled_ends_.begin());
      EndAttempt(scheduled_end);
    }
    PlanUntilEmpty();
  }
}

FakeTask& FakeCell::task(const wire::TaskId& id) {
  return jobs.at(id.job).tasks.at(id.index);
}

uint32_t FakeCell::CountTasks(const std::string& job, wire::TaskState state) {
  return static_cast<uint32_t>(std::ranges::count(
      jobs.at(wire::JobId(job)).tasks, state, &FakeTask::state));
}

uint32_t FakeCell::CountActiveTasks(const std::string& job) {
  return CountTasks(job, wire::TaskState::kRunning) +
         CountTasks(job, wire::TaskState::kStopping);
}

wire::Resources FakeCell::ReservedByOwner(const std::string& owner) const {
  wire::Resources sum;
  for (const auto& [id, worker] : workers) {
    for (const wire::TaskId& it : worker.tasks) {
      const FakeJob& job = jobs.at(it.job);
      if (job.spec.owner.str() == owner) {
        sum += job.tasks[it.index].reserved;
      }
    }
  }
  return sum;
}

std::string FakeCell::FindOvercommittedWorker() const {
  for (const auto& [id, worker] : workers) {
    if (!worker.reserved.FitsIn(worker.registration.capacity)) {
      return id.str() + " has reservations of " + worker.reserved.ToString();
    }
  }
  return {};
}

bool FakeCell::MayCommit(const std::vector<wire::Assignment>& group) const {
  std::map<wire::WorkerId, wire::Resources> sums;
  return std::ranges::all_of(group, [&](const wire::Assignment& it) {
    const auto worker = workers.find(it.worker);
    const auto job = jobs.find(it.task.job);
    if (worker == workers.end() || job == jobs.end() ||
        job->second.tasks[it.task.index].state != wire::TaskState::kPending) {
      return false;
    }
    auto& sum =
        sums.try_emplace(it.worker, worker->second.reserved).first->second;
    sum += it.reserved;
    return sum.FitsIn(worker->second.registration.capacity) &&
           worker->second.registration.state == wire::WorkerState::kReady;
  });
}

void FakeCell::CommitGroup(const std::vector<wire::Assignment>& group) {
  if (!MayCommit(group)) {
    ++refused_groups;
    for (const wire::Assignment& it : group) {
      Apply(AssignmentRefused{it.task});
    }
    return;
  }
  const FakeJob& group_job = jobs.at(group.front().task.job);
  const auto pending_count = std::ranges::count(
      group_job.tasks, wire::TaskState::kPending, &FakeTask::state);
  if (group_job.spec.kind == wire::JobKind::kGang &&
      pending_count != static_cast<int64_t>(group.size())) {
    violation = "gang " + group_job.spec.id.str() +
                " started only some of its pending tasks";
  }
  for (const wire::Assignment& it : group) {
    FakeTask& fake_task = task(it.task);
    const FakeJob& job = jobs.at(it.task.job);
    fake_task.state = wire::TaskState::kRunning;
    fake_task.attempt = wire::AttemptId(next_attempt_++);
    fake_task.worker = it.worker;
    fake_task.reserved = it.reserved;
    fake_task.started = now;
    fake_task.order = it.reserved.milli_cpus < job.spec.per_task.milli_cpus
                          ? wire::AttemptOrder::kThrottle
                          : wire::AttemptOrder::kRun;
    FakeWorker& worker = workers.at(it.worker);
    worker.reserved += it.reserved;
    worker.tasks.insert(it.task);
    ++placements;
    if (on_task_start) {
      on_task_start(it.task, now - fake_task.pending_since);
    }
    Apply(TaskAssigned{it.task, fake_task.attempt, it.worker, it.reserved});
    Apply(TaskRunning{it.task, fake_task.attempt});
    const auto run_duration =
        actual_run_time ? actual_run_time(job.spec) : std::nullopt;
    if (should_fail && should_fail(it.task, it.worker)) {
      scheduled_ends_.emplace(
          now + fail_after,
          ScheduledEnd{it.task, fake_task.attempt, TaskOutcome::kFailed});
    } else if (run_duration) {
      scheduled_ends_.emplace(
          now + *run_duration,
          ScheduledEnd{it.task, fake_task.attempt, TaskOutcome::kDone});
    }
  }
}

void FakeCell::CommitOrder(const wire::OrderAttempts::Item& item) {
  FakeTask& fake_task = task(item.task);
  if (fake_task.attempt != item.attempt ||
      fake_task.state != wire::TaskState::kRunning) {
    return;
  }
  fake_task.order = item.order;
  if (item.order != wire::AttemptOrder::kStop) {
    Apply(TaskOrdered{item.task, item.attempt, item.order});
    return;
  }
  fake_task.state = wire::TaskState::kStopping;
  Apply(TaskStopping{item.task, item.attempt});
  const bool is_cancelled = jobs.at(item.task.job).is_cancelled;
  preemptions += is_cancelled ? 0 : 1;
  scheduled_ends_.emplace(now + stop_delay,
                          ScheduledEnd{item.task, item.attempt,
                                       is_cancelled ? TaskOutcome::kCancelled
                                                    : TaskOutcome::kPreempted});
}

void FakeCell::EndAttempt(const ScheduledEnd& scheduled_end) {
  FakeJob& job = jobs.at(scheduled_end.task.job);
  FakeTask& fake_task = job.tasks[scheduled_end.task.index];
  const bool is_active = fake_task.state == wire::TaskState::kRunning ||
                         fake_task.state == wire::TaskState::kStopping;
  if (fake_task.attempt != scheduled_end.attempt || !is_active) {
    return;
  }
  FakeWorker& worker = workers.at(fake_task.worker);
  worker.reserved -= fake_task.reserved;
  worker.tasks.erase(scheduled_end.task);
  const auto run_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - fake_task.started);
  Apply(TaskEnded{scheduled_end.task, scheduled_end.attempt,
                  scheduled_end.outcome, run_ms.count(), ""});
  if (scheduled_end.outcome == TaskOutcome::kDone) {
    fake_task.state = wire::TaskState::kDone;
    return;
  }
  if (scheduled_end.outcome == TaskOutcome::kFailed) {
    fake_task.failed_workers.insert(fake_task.worker);
    if (++fake_task.failures >= job.spec.max_attempts) {
      fake_task.state = wire::TaskState::kFailed;
      return;
    }
  }
  if (job.is_cancelled) {
    fake_task.state = wire::TaskState::kCancelled;
    return;
  }
  fake_task.state = wire::TaskState::kPending;
  fake_task.pending_since = now;
  Apply(TaskPending{scheduled_end.task});
}

}  // namespace sassafras::placement
