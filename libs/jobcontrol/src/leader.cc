// The leader's loop: collect changes, plan, record, then order.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "jobs/pacing.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

// Beyond the time that the service takes by itself.
constexpr auto kAdviceSlack = std::chrono::milliseconds(2500);

std::string TextOf(const jobs::TaskKey& task) {
  return task.step.job.str() + "." + std::to_string(task.step.occurrence) +
         "." + std::to_string(task.step.step) + "." +
         std::to_string(task.index);
}

}  // namespace

Leader::Leader(LeaderHost& host,
               const LeaderOptions& options,
               const LeaderMetrics& metrics)
    : host_(host), options_(options), metrics_(metrics) {}

std::shared_ptr<Leader> Leader::Create(LeaderHost& host,
                                       const LeaderOptions& options,
                                       const LeaderMetrics& metrics) {
  std::shared_ptr<Leader> leader(new Leader(host, options, metrics));
  leader->Begin();
  return leader;
}

void Leader::Begin() {
  const base::Instant now = host_.Now();
  for (const wire::JobId& id : host_.table().active() | std::views::values) {
    scheduler_.OnJob(id, now);
  }
  for (const auto& record : host_.table().workers() | std::views::values) {
    OpenSession(record);
  }
  // Stops that an earlier leader didn't finish.
  for (const auto& record : host_.table().workers() | std::views::values) {
    for (const jobs::OpenRun& run : record.runs) {
      const jobs::JobRecord* job = host_.table().FindJob(run.task.step.job);
      if (job == nullptr || job->phase != jobs::JobPhase::kActive) {
        sessions_.at(record.info.boot.id).Stop(run.task, run.run);
      }
    }
  }
  for (auto& session : sessions_ | std::views::values) {
    Serve(session);
  }
}

void Leader::OpenSession(const jobs::WorkerRecord& record) {
  jobs::WorkerSession session(record, options_.session, host_.Now());
  sessions_.insert_or_assign(record.info.boot.id, std::move(session));
}

jobs::WorkerSession* Leader::FindSession(const jobs::WorkerBoot& boot) {
  const auto it = sessions_.find(boot.id);
  const bool is_found = it != sessions_.end() && it->second.boot() == boot;
  return is_found ? &it->second : nullptr;
}

// --- changes from outside ---

void Leader::Submit(jobs::AddJob job, RecordedDone done) {
  if (host_.table().FindJob(job.id) != nullptr) {
    done(Recorded::kYes);
    return;
  }
  batch_.jobs.push_back(std::move(job));
  waiters_.push_back(std::move(done));
  Flush();
}

void Leader::Cancel(const wire::JobId& job, RecordedDone done) {
  batch_.cancels.push_back(job);
  waiters_.push_back(std::move(done));
  Flush();
}

void Leader::PutManifest(jobs::Manifest manifest, RecordedDone done) {
  batch_.manifests.push_back(std::move(manifest));
  waiters_.push_back(std::move(done));
  Flush();
}

void Leader::OnHeartbeat(jobs::WorkerInfo worker,
                         int64_t clock_ms,
                         RecordedDone done) {
  const jobs::WorkerRecord* record = host_.table().FindWorker(worker.boot.id);
  if (record != nullptr && worker.boot == record->info.boot) {
    worker.is_draining |= record->info.is_draining;
  }
  if (record != nullptr &&
      worker.boot.started_ms < record->info.boot.started_ms) {
    done(Recorded::kYes);  // of an earlier boot, and overtaken
    return;
  }
  if (jobs::WorkerSession* session = FindSession(worker.boot)) {
    session->OnHeartbeat(worker, clock_ms, host_.Now());
  }
  if (record != nullptr && record->info == worker) {
    done(Recorded::kYes);
    return;
  }
  Decision("worker")
      .With("worker", worker.boot.id)
      .With("boot", worker.boot.started_ms)
      .With("draining", worker.is_draining)
      .Write();
  batch_.workers.push_back(worker);
  waiters_.push_back(std::move(done));
  Flush();
}

void Leader::OnLeave(const jobs::WorkerBoot& worker, RecordedDone done) {
  batch_.removed_workers.push_back(worker);
  waiters_.push_back(std::move(done));
  Flush();
}

// --- recording ---

// One batch is on its way at a time, so that a plan never starts from a state
// that is about to change.
void Leader::Flush() {
  if (is_recording_) {
    return;
  }
  if (needs_plan_) {
    needs_plan_ = false;
    AddPlan();
  }
  if (batch_.IsEmpty()) {
    return;
  }
  is_recording_ = true;
  jobs::Batch batch = std::exchange(batch_, {});
  auto waiters = std::exchange(waiters_, {});
  host_.Record(batch, [weak = weak_from_this(), batch,
                       waiters = std::move(waiters)](Recorded it) mutable {
    if (const auto self = weak.lock()) {
      self->OnRecorded(it, std::move(batch), std::move(waiters));
    } else {
      std::ranges::for_each(waiters, [&](auto& done) { done(it); });
    }
  });
}

void Leader::OnRecorded(Recorded recorded,
                        jobs::Batch batch,
                        std::vector<RecordedDone> waiters) {
  is_recording_ = false;
  if (recorded == Recorded::kYes) {
    for (const auto& [worker, cursor] : batch.cursors) {
      if (jobs::WorkerSession* session = FindSession(worker)) {
        session->OnRecorded(cursor);
        Serve(*session);
      }
    }
    metrics_.jobs_accepted.Add(batch.jobs.size());
  } else {
    leaving_.clear();
    // Ends would not be listed again: they are recorded with the next batch.
    std::ranges::move(batch.ends, std::back_inserter(batch_.ends));
    std::ranges::move(batch.cursors, std::back_inserter(batch_.cursors));
  }
  needs_plan_ = true;
  std::ranges::for_each(waiters, [&](auto& done) { done(recorded); });
  if (recorded != Recorded::kUnsure) {
    Flush();
  }
}

void Leader::OnApplied(const jobs::Changes& changes) {
  needs_plan_ = true;
  SyncSessions();
  const base::Instant now = host_.Now();
  for (const wire::JobId& id : changes.added_jobs) {
    const jobs::JobRecord* job = host_.table().FindJob(id);
    Decision("job").With("job", id).With("queue", job->queue).Write();
    scheduler_.OnJob(id, now);
  }
  std::ranges::for_each(changes.started, [this](auto& it) { Dispatch(it); });
  for (const wire::JobId& job : changes.ended_jobs) {
    const auto phase = host_.table().FindJob(job)->phase;
    Decision("job-ended")
        .With("job", job)
        .With("phase", nlohmann::json(phase).get<std::string>())
        .Write();
    scheduler_.OnJobEnded(job);
    progress_.OnJobEnded(job);
    StopRunsOf(job);
  }
  metrics_.jobs_active.Set(static_cast<double>(host_.table().active().size()));
}

// A session for each recorded boot, and for no other.
void Leader::SyncSessions() {
  const auto& workers = host_.table().workers();
  std::erase_if(sessions_, [&](const auto& it) {
    const auto record = workers.find(it.first);
    return record == workers.end() ||
           record->second.info.boot != it.second.boot();
  });
  for (const auto& [id, record] : workers) {
    if (!sessions_.contains(id)) {
      OpenSession(record);
      Serve(sessions_.at(id));
    }
  }
}

void Leader::AddPlan() {
  const base::Instant now = host_.Now();
  std::set<wire::WorkerId> usable;
  for (const auto& [id, session] : sessions_) {
    if (session.IsUsable(now)) {
      usable.insert(id);
    }
  }
  metrics_.workers_usable.Set(static_cast<double>(usable.size()));
  const jobs::Plan plan =
      scheduler_.MakePlan(host_.table(), usable, advice_, now);
  std::ranges::copy(plan.starts, std::back_inserter(batch_.starts));
  AskAdvice(plan.wishes);
}

void Leader::BeginOccurrences() {
  const base::WallMs wall = host_.WallNow();
  for (const wire::JobId& id : host_.table().active() | std::views::values) {
    const jobs::JobRecord& job = *host_.table().FindJob(id);
    const uint64_t next =
        job.occurrences.empty() ? 0 : job.occurrences.rbegin()->first + 1;
    const bool is_due =
        job.spec.IsRecurring() && next < job.spec.occurrences &&
        wall >= job.spec.first_due_ms +
                    static_cast<int64_t>(next) * job.spec.interval_ms;
    if (is_due && !is_recording_) {
      batch_.occurrences.push_back({id, next});
    }
  }
}

void Leader::EndLostWorkers() {
  const base::Instant now = host_.Now();
  for (auto& [id, session] : sessions_) {
    if (!session.IsOver(now) || !leaving_.insert(session.boot()).second) {
      continue;
    }
    Decision("worker-lost").With("worker", id).Write();
    metrics_.workers_lost.Add();
    const jobs::WorkerRecord& record = host_.table().workers().at(id);
    for (const jobs::OpenRun& run : record.runs) {
      batch_.ends.push_back({session.boot(), run.task, run.run,
                             jobs::RunEnd::kLapsed,
                             session.CheckpointOf(run.task, run.run)});
    }
    batch_.removed_workers.push_back(session.boot());
  }
}

void Leader::AskAdvice(const std::vector<jobs::AdviceWish>& wishes) {
  const auto askings =
      advice_.Ask(wishes, host_.Advisers(host_.Now()), host_.Now());
  for (const jobs::Asking& asking : askings) {
    metrics_.questions.Add();
    host_.Ask(asking.host, asking.question, kAdviceSlack,
              [weak = weak_from_this(), asking, asked = host_.Now()](
                  const std::optional<std::vector<jobs::Permit>>& permits) {
                if (const auto self = weak.lock()) {
                  self->OnAdvice(asking, permits, asked);
                }
              });
  }
}

void Leader::OnAdvice(const jobs::Asking& asking,
                      const std::optional<std::vector<jobs::Permit>>& permits,
                      base::Instant asked) {
  const base::Instant now = host_.Now();
  Decision("advice")
      .With("job", asking.question.step.job)
      .With("step", asking.question.step.step)
      .With("host", asking.host)
      .With("named", asking.question.workers.size())
      .With("allowed", permits ? static_cast<int64_t>(permits->size()) : -1)
      .With("took_us", now - asked)
      .Write();
  if (permits) {
    advice_.OnAnswer(asking.question.id, *permits, now);
  } else {
    metrics_.questions_failed.Add();
    advice_.OnFailure(asking.question.id, now);
  }
  needs_plan_ = true;
  Flush();
}

// --- orders ---

void Leader::Dispatch(const jobs::StartRun& start) {
  jobs::WorkerSession* session = FindSession(start.worker);
  const jobs::JobRecord* job = host_.table().FindJob(start.task.step.job);
  if (session == nullptr || job == nullptr) {
    return;
  }
  const jobs::StepSpec& spec = job->spec.steps[start.task.step.step];
  const auto& step =
      job->occurrences.at(start.task.step.occurrence)[start.task.step.step];
  jobs::StartOrder order{start.task, start.run, job->spec.payload};
  if (spec.has_checkpoints) {
    order.checkpoint = spec.is_gang ? step.checkpoint
                                    : step.tasks[start.task.index].checkpoint;
  }
  const std::string* ticket =
      advice_.Ticket(start.task.step, start.worker, host_.Now());
  if (ticket != nullptr) {
    order.ticket = *ticket;
  }
  Decision("start")
      .With("task", TextOf(start.task))
      .With("run", start.run)
      .With("worker", start.worker.id)
      .With("boot", start.worker.started_ms)
      .With("term", options_.term)
      .Write();
  metrics_.runs_started.Add();
  session->Start(std::move(order));
  Serve(*session);
}

void Leader::StopRunsOf(const wire::JobId& job) {
  for (const auto& record : host_.table().workers() | std::views::values) {
    jobs::WorkerSession* session = FindSession(record.info.boot);
    for (const jobs::OpenRun& run : record.runs) {
      if (session == nullptr || run.task.step.job != job) {
        continue;
      }
      if (auto end = session->Stop(run.task, run.run)) {
        AddEnd(*std::move(end));
      }
    }
    if (session != nullptr) {
      Serve(*session);
    }
  }
}

// Makes the calls that the session wants now.
void Leader::Serve(jobs::WorkerSession& session) {
  const base::Instant now = host_.Now();
  const jobs::WorkerBoot boot = session.boot();
  for (const jobs::OrderCall& call : session.TakeOrders(now)) {
    host_.workers().Order(
        session.info(), call, options_.term,
        [weak = weak_from_this(), boot, id = call.id](const auto& reply) {
          if (const auto self = weak.lock()) {
            self->OnOrderReply(boot, id, reply);
          }
        });
  }
  if (const auto call = session.TakeHold(now)) {
    host_.workers().Hold(session.info(), *call, options_.term,
                         [weak = weak_from_this(), boot](const auto& reply) {
                           if (const auto self = weak.lock()) {
                             self->OnHoldReply(boot, reply);
                           }
                         });
  }
}

void Leader::OnOrderReply(const jobs::WorkerBoot& boot,
                          uint64_t call,
                          const jobs::OrderReply& reply) {
  jobs::WorkerSession* session = FindSession(boot);
  if (session == nullptr) {
    return;
  }
  if (reply.result == jobs::OrderResult::kNoAnswer) {
    metrics_.orders_unanswered.Add();
  }
  if (reply.result != jobs::OrderResult::kAccepted) {
    Decision("order-failed")
        .With("worker", boot.id)
        .With("result", static_cast<int>(reply.result))
        .Write();
  }
  if (auto end = session->OnOrderReply(call, reply, host_.Now())) {
    AddEnd(*std::move(end));
  }
  Serve(*session);
  Flush();
}

void Leader::OnHoldReply(const jobs::WorkerBoot& boot,
                         const jobs::HoldReply& reply) {
  jobs::WorkerSession* session = FindSession(boot);
  if (session == nullptr) {
    return;
  }
  const bool was_usable = session->IsUsable(host_.Now());
  jobs::HoldOutcome outcome = session->OnHoldReply(reply, host_.Now());
  needs_plan_ |= session->IsUsable(host_.Now()) != was_usable;
  if (!outcome.ends.empty()) {
    std::ranges::for_each(outcome.ends, [this](auto& it) { AddEnd(it); });
    batch_.cursors.push_back({boot, outcome.end_cursor});
  }
  PaceFillers(*session);
  StopLaggards(*session);
  Serve(*session);
  Flush();
}

void Leader::AddEnd(jobs::EndRun end) {
  Decision("end")
      .With("task", TextOf(end.task))
      .With("run", end.run)
      .With("worker", end.worker.id)
      .With("how", nlohmann::json(end.how).get<std::string>())
      .Write();
  auto& counter = end.how == jobs::RunEnd::kRejected ? metrics_.runs_rejected
                                                     : metrics_.runs_ended;
  counter.Add();
  paces_.erase({end.task, end.run});
  scheduler_.OnEnd(end, host_.Now());
  progress_.OnEnd(end.task, end.run, end.how == jobs::RunEnd::kDone,
                  host_.Now());
  const bool is_rejected = end.how == jobs::RunEnd::kRejected;
  batch_.ends.push_back(end);
  if (is_rejected) {
    StopRestOfGang(end);
  }
}

// The other members would only wait for one that doesn't come.
void Leader::StopRestOfGang(const jobs::EndRun& end) {
  const jobs::StepSpec* spec = SpecOf(end.task);
  const jobs::JobRecord* job = host_.table().FindJob(end.task.step.job);
  if (spec == nullptr || !spec->is_gang ||
      job->phase != jobs::JobPhase::kActive) {
    return;
  }
  for (auto& session : sessions_ | std::views::values) {
    const jobs::WorkerRecord* record =
        host_.table().FindWorker(session.boot().id);
    for (const jobs::OpenRun& run : record->runs) {
      const bool is_member = run.run == end.run &&
                             run.task.step == end.task.step &&
                             run.task != end.task;
      if (!is_member) {
        continue;
      }
      if (auto stopped = session.Stop(run.task, run.run)) {
        batch_.ends.push_back(*std::move(stopped));
      }
    }
  }
}

const jobs::StepSpec* Leader::SpecOf(const jobs::TaskKey& task) const {
  const jobs::JobRecord* job = host_.table().FindJob(task.step.job);
  const bool is_known =
      job != nullptr && task.step.step < job->spec.steps.size();
  return is_known ? &job->spec.steps[task.step.step] : nullptr;
}

// Fillers give way where a task misses the latency target of its users.
void Leader::PaceFillers(jobs::WorkerSession& session) {
  std::vector<jobs::PacedRun> runs;
  for (const jobs::RunningRow& row : session.running()) {
    const jobs::StepSpec* spec = SpecOf(row.task);
    if (spec == nullptr) {
      continue;
    }
    const auto it = paces_.find({row.task, row.run});
    runs.push_back({row.task, row.run, spec->is_filler,
                    spec->is_lasting ? spec->target_latency_ms : 0, row.figure,
                    it == paces_.end() ? jobs::kFullPace : it->second});
  }
  for (const jobs::PaceOrder& pace : jobs::DecidePaces(runs)) {
    paces_[{pace.task, pace.run}] = pace.percent;
    session.Pace(pace.task, pace.run, pace.percent);
    Decision("pace")
        .With("task", TextOf(pace.task))
        .With("worker", session.boot().id)
        .With("percent", pace.percent)
        .Write();
  }
}

// Runs that would be done sooner elsewhere are stopped; the plan starts them
// again on another worker.
void Leader::StopLaggards(jobs::WorkerSession& session) {
  std::vector<jobs::WatchedRun> runs;
  for (const jobs::RunningRow& row : session.running()) {
    const jobs::StepSpec* spec = SpecOf(row.task);
    if (spec != nullptr && !spec->is_lasting && !spec->is_filler) {
      runs.push_back({row.task, row.run, row.percent, spec->is_gang});
    }
  }
  for (const jobs::Laggard& it : progress_.OnLook(runs, host_.Now())) {
    Decision("laggard")
        .With("task", TextOf(it.task))
        .With("run", it.run)
        .With("worker", session.boot().id)
        .With("stuck", it.lag == jobs::Lag::kStuck)
        .Write();
    scheduler_.OnLag(it.task, session.boot(), host_.Now());
    if (auto end = session.Stop(it.task, it.run)) {
      AddEnd(*std::move(end));
    }
  }
}

void Leader::Tick() {
  EndLostWorkers();
  BeginOccurrences();
  for (auto& session : sessions_ | std::views::values) {
    Serve(session);
  }
  needs_plan_ = true;
  Flush();
}

}  // namespace sassafras::jobcontrol
