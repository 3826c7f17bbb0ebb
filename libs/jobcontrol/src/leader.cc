// The leader's main loop: collects changes, plans task starts, records both in
// one batch, and then sends the orders.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

// After a plan, this multiple of the time that it took belongs to other work,
// so that a leader with a long backlog still hears its workers.
constexpr int kPlanPause = 4;
// That jobs have begun is recorded together with other changes, or on its own
// after this time.
constexpr auto kMaxBegunDelay = std::chrono::milliseconds(500);

}  // namespace

Leader::Leader(LeaderContext& context,
               const LeaderOptions& options,
               const LeaderMetrics& metrics)
    : context_(context),
      options_(options),
      metrics_(metrics),
      scheduler_(context.history().speed()),
      table_guard_(options.table, metrics) {}

std::shared_ptr<Leader> Leader::Create(LeaderContext& context,
                                       const LeaderOptions& options,
                                       const LeaderMetrics& metrics) {
  std::shared_ptr<Leader> leader(new Leader(context, options, metrics));
  leader->Begin();
  return leader;
}

// Callers of changes that wait for the batch in flight would otherwise get no
// answer when the term ends.
Leader::~Leader() {
  std::ranges::for_each(submissions_,
                        [](auto& it) { it.done(RecordResult::kNotRecorded); });
  std::ranges::for_each(batch_callbacks_,
                        [](auto& done) { done(RecordResult::kNotRecorded); });
  metrics_.customers->Clear();
  metrics_.queues->Clear();
}

void Leader::Begin() {
  const base::Instant now = context_.Now();
  for (const auto* job : context_.table().active() | std::views::values) {
    AddJob(*job);
  }
  admission_.Assign(context_.table(), context_.history(), now);
  table_guard_.Begin(context_.table(), now);
  for (const auto& record : context_.table().workers() | std::views::values) {
    OpenSession(record);
  }
  // Resends stop orders that an earlier leader may not have completed.
  for (const auto& record : context_.table().workers() | std::views::values) {
    for (const jobs::OpenRun& run : record.runs) {
      const jobs::StartRun start{run.task, run.run, record.info.boot};
      scheduler_.OnOpenRun(context_.table(), start, now);
      WatchSuspect(start);
      if (!IsWanted(run.task)) {
        sessions_.at(record.info.boot.id).Stop(run.task, run.run);
      }
    }
  }
  StartCallRound();
}

// A job that was accepted under an earlier leader is due as if that one still
// led.
void Leader::AddJob(const jobs::JobRecord& job) {
  const auto accepted_at = context_.history().AcceptedAt(job.id);
  scheduler_.OnJob(job, context_.table().FindQueue(job.queue),
                   accepted_at.value_or(context_.Now()));
  for (const uint64_t occurrence : job.occurrences | std::views::keys) {
    if (job.spec.IsRecurring()) {
      scheduler_.OnOccurrence(job.id, occurrence, context_.Now());
    }
  }
}

void Leader::OpenSession(const jobs::WorkerRecord& record) {
  jobs::WorkerSession session(record, options_.session, context_.Now(),
                              ++last_session_);
  sessions_.insert_or_assign(record.info.boot.id, std::move(session));
}

jobs::WorkerSession* Leader::FindSession(const jobs::WorkerBoot& boot) {
  const auto it = sessions_.find(boot.id);
  const bool is_found = it != sessions_.end() && it->second.boot() == boot;
  return is_found ? &it->second : nullptr;
}

jobs::WorkerSession* Leader::FindSession(const SessionId& id) {
  jobs::WorkerSession* session = FindSession(id.boot);
  const bool is_found = session != nullptr && session->number() == id.number;
  return is_found ? session : nullptr;
}

// --- External changes ---

void Leader::Cancel(const wire::JobId& job, RecordDone done) {
  batch_.cancels.push_back(job);
  batch_callbacks_.push_back(std::move(done));
  Flush();
}

// An operator's client repeats a change that wasn't acknowledged, and each
// proposal is a copy of the whole manifest in the log. That this leader's
// manifest is the newest one must be shown, as a later leader may have another.
void Leader::PutManifest(jobs::Manifest manifest, RecordDone done) {
  if (manifest.version <= context_.table().manifest().version) {
    context_.Barrier([done = std::move(done)](bool passed) {
      done(passed ? RecordResult::kRecorded : RecordResult::kNotRecorded);
    });
    return;
  }
  batch_.manifests.push_back(std::move(manifest));
  batch_callbacks_.push_back(std::move(done));
  Flush();
}

void Leader::OnHeartbeat(jobs::WorkerInfo worker,
                         int64_t clock_ms,
                         RecordDone done) {
  const jobs::WorkerRecord* record =
      context_.table().FindWorker(worker.boot.id);
  if (record != nullptr && worker.boot == record->info.boot) {
    worker.is_draining |= record->info.is_draining;
  }
  if (record != nullptr &&
      worker.boot.started_ms < record->info.boot.started_ms) {
    done(RecordResult::kRecorded);  // stale: a later boot is recorded
    return;
  }
  // Nothing can be placed there, and the entry may be another writer's: it must
  // not displace a worker with its id or at its address.
  const bool keeps_service =
      record != nullptr && record->info.service == worker.service;
  if (!keeps_service && !context_.table().HasService(worker.service)) {
    done(RecordResult::kRecorded);
    return;
  }
  if (jobs::WorkerSession* session = FindSession(worker.boot)) {
    if (session->IsLateHeartbeat(clock_ms)) {
      Decision("late-heartbeat")
          .With("worker", worker.boot.id)
          .With("boot", worker.boot.started_ms)
          .Write();
      done(RecordResult::kRecorded);
      return;
    }
    session->OnHeartbeat(worker, clock_ms, context_.Now());
  } else {
    DeclareReplacedWorkersLost(worker, clock_ms);
  }
  if (next_boots_.contains(worker.boot.id)) {
    done(RecordResult::kRecorded);
    Flush();
    return;
  }
  if (record != nullptr && record->info == worker) {
    done(RecordResult::kRecorded);
    return;
  }
  RecordWorker(std::move(worker));
  batch_callbacks_.push_back(std::move(done));
  Flush();
}

void Leader::RecordWorker(jobs::WorkerInfo worker) {
  Decision("worker")
      .With("worker", worker.boot.id)
      .With("boot", worker.boot.started_ms)
      .With("draining", worker.is_draining)
      .Write();
  batch_.workers.push_back(std::move(worker));
}

void Leader::OnHeard(const jobs::WorkerBoot& worker, int64_t clock_ms) {
  if (jobs::WorkerSession* session = FindSession(worker)) {
    session->OnHeard(clock_ms, context_.Now());
  }
}

// The process that leaves may go on for a while, also because it waits for this
// reply or doesn't get it. It is stopped from running on beside runs that are
// started elsewhere: by orders, which also save checkpoints, and otherwise by
// the end of its lease.
void Leader::OnLeave(const jobs::WorkerBoot& worker, const RecordDone& done) {
  done(RecordResult::kRecorded);
  jobs::WorkerSession* session = FindSession(worker);
  const jobs::WorkerRecord* record = context_.table().FindWorker(worker.id);
  if (session == nullptr || record == nullptr) {
    return;
  }
  Decision("leave")
      .With("worker", worker.id)
      .With("boot", worker.started_ms)
      .With("runs", record->runs.size())
      .Write();
  session->OnLeave();
  StopRunsOn(*session, *record);
  Flush();
}

// --- Recording and planning ---

// At most one batch is in flight, so that a plan is never based on a state that
// an uncommitted batch is about to change.
void Leader::Flush() {
  if (recording_) {
    return;
  }
  const base::Instant now = context_.Now();
  if (needs_plan_ && now >= next_plan_) {
    needs_plan_ = false;
    PlanStarts();
    const base::Instant end = context_.Now();
    next_plan_ = end + kPlanPause * (end - now);
  } else if (!urgent_steps_.empty() || has_freed_room_) {
    PlanUrgentSteps();
  }
  AddSubmissions();
  AddBegunJobs(now);
  if (batch_.IsEmpty()) {
    return;
  }
  const auto batch =
      std::make_shared<const jobs::Batch>(std::exchange(batch_, {}));
  recording_ = batch;
  auto callbacks = std::exchange(batch_callbacks_, {});
  context_.Record(
      batch, [weak = weak_from_this(), batch, proposed_at = context_.Now(),
              callbacks = std::move(callbacks)](RecordResult result) mutable {
        if (const auto self = weak.lock()) {
          self->LogBatch(*batch, result, self->context_.Now() - proposed_at);
          self->OnRecorded(result, *batch, std::move(callbacks));
        } else {
          std::ranges::for_each(callbacks, [&](auto& done) { done(result); });
        }
      });
}

void Leader::NoteBegunJobs(jobs::WorkerSession& session) {
  for (const jobs::TaskKey& task : session.TakeBegunTasks()) {
    const jobs::JobRecord* job = context_.table().FindJob(task.step.job);
    if (job == nullptr || job->has_started) {
      continue;
    }
    if (begun_jobs_.empty()) {
      begun_jobs_since_ = context_.Now();
    }
    begun_jobs_.insert(job->id);
  }
}

void Leader::AddBegunJobs(base::Instant now) {
  const bool is_due = now >= begun_jobs_since_ + kMaxBegunDelay;
  if (begun_jobs_.empty() || (batch_.IsEmpty() && !is_due)) {
    return;
  }
  std::ranges::copy(std::exchange(begun_jobs_, {}),
                    std::back_inserter(batch_.begun_jobs));
}

void Leader::LogBatch(const jobs::Batch& batch,
                      RecordResult result,
                      base::Duration took) {
  metrics_.commit_time.Observe(took);
  Decision("batch")
      .With("took_us", took)
      .With("recorded", result == RecordResult::kRecorded)
      .With("jobs", batch.jobs.size())
      .With("workers", batch.workers.size())
      .With("starts", batch.starts.size())
      .With("ends", batch.ends.size())
      .Write();
}

void Leader::OnRecorded(RecordResult result,
                        const jobs::Batch& batch,
                        std::vector<RecordDone> callbacks) {
  recording_.reset();
  std::ranges::for_each(batch.jobs,
                        [this](auto& it) { table_guard_.OnResolved(it); });
  if (result == RecordResult::kRecorded) {
    has_freed_room_ |= !batch.ends.empty();
    std::ranges::for_each(batch.ends,
                          [this](auto& end) { OnEndRecorded(end); });
    for (const auto& [worker, cursor] : batch.cursors) {
      if (jobs::WorkerSession* session = FindSession(worker)) {
        session->OnRecorded(cursor);
        SendPendingCalls(*session);
      }
    }
    // A boot that was declared lost may return and be lost again.
    for (const jobs::WorkerBoot& boot : batch.removed_workers) {
      workers_being_removed_.erase(boot);
    }
    metrics_.jobs_accepted.Add(batch.jobs.size());
  } else {
    for (const jobs::AddJob& job : batch.jobs) {
      metrics_.queues->Forget(job.id);
    }
    // The worker sessions don't report these ends again, and the losses stay
    // proved, so retry them in the next batch.
    std::ranges::copy(batch.ends, std::back_inserter(batch_.ends));
    std::ranges::copy(batch.removed_workers,
                      std::back_inserter(batch_.removed_workers));
    std::ranges::copy(batch.cursors, std::back_inserter(batch_.cursors));
    std::ranges::copy(batch.begun_jobs, std::back_inserter(batch_.begun_jobs));
    std::ranges::copy(batch.settled_workers,
                      std::back_inserter(batch_.settled_workers));
    std::ranges::copy(batch.proven_runs,
                      std::back_inserter(batch_.proven_runs));
  }
  needs_plan_ = true;
  std::ranges::for_each(callbacks, [&](auto& done) { done(result); });
  // A replica refuses at once what it can't propose, because it has stepped
  // down or is handing over its role. Proposing again from here would repeat
  // that without an end and without a turn of the event loop; the next call or
  // tick proposes again if this is still the leader.
  if (result == RecordResult::kRecorded) {
    Flush();
  }
}

void Leader::OnApplied(const jobs::Changes& changes) {
  needs_plan_ = true;
  if (changes.has_worker_changes) {
    SyncSessions();
    scheduler_.OnWorkersChanged(context_.table());
  }
  admission_.OnApplied(context_.table(), context_.history(), changes,
                       context_.Now());
  NoteWaits(changes);
  std::ranges::for_each(changes.crash_causes,
                        [this](auto& it) { LogCrashCause(it); });
  for (const wire::JobId& id : changes.added_jobs) {
    const jobs::JobRecord* job = context_.table().FindJob(id);
    LogJob(*job);
    AddJob(*job);
    AddUrgentSteps(*job, 0);
  }
  for (const auto& [job, occurrence] : changes.begun_occurrences) {
    scheduler_.OnOccurrence(job, occurrence, context_.Now());
  }
  std::ranges::for_each(changes.started,
                        [this](auto& start) { Dispatch(start); });
  std::ranges::for_each(changes.changed_workers,
                        [this](auto& boot) { StopUnfittingStarts(boot); });
  std::ranges::for_each(changes.surplus_runs,
                        [this](auto& run) { StopSurplusRun(run); });
  for (const wire::JobId& job : changes.ended_jobs) {
    LogJobEnd(job);
    table_guard_.OnJobEnded(job, context_.Now());
    scheduler_.OnJobEnded(job);
    progress_.OnJobEnded(job);
    advice_.ForgetJob(job);
    StopRunsOf(job);
  }
  metrics_.jobs_active.Set(
      static_cast<double>(context_.table().active().size()));
}

void Leader::LogJobEnd(const wire::JobId& job) const {
  Decision line("job-ended");
  line.With("job", job);
  if (const jobs::JobRecord* record = context_.table().FindJob(job)) {
    line.With("phase", nlohmann::json(record->phase).get<std::string>());
  }
  line.Write();
}

// Makes `sessions_` match the recorded worker boots.
void Leader::SyncSessions() {
  const auto& workers = context_.table().workers();
  std::erase_if(sessions_, [&](const auto& entry) {
    const auto record = workers.find(entry.first);
    return record == workers.end() ||
           record->second.info.boot != entry.second.boot();
  });
  for (const auto& [id, record] : workers) {
    if (!sessions_.contains(id)) {
      OpenSession(record);
      SendPendingCalls(sessions_.at(id));
    }
  }
  DropSupersededNextBoots();
}

void Leader::Tick() {
  RemoveLostWorkers();
  AddSettledWorkers();
  ProveSuspects();
  AddDueOccurrences();
  ForgetEndedJobs();
  StartCallRound();
  CallNextBoots();
  ReportCustomers();
  ReportQueues();
  needs_plan_ = true;
  Flush();
}

}  // namespace sassafras::jobcontrol
