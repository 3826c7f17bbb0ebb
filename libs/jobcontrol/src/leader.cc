// The leader's loop: collect changes, plan, record, then order.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

// Beyond the time that the service takes by itself.
constexpr auto kAdviceSlack = std::chrono::milliseconds(600);

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
  for (const auto* job : host_.table().active() | std::views::values) {
    scheduler_.OnJob(job->id, now);
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
  BeginRound();
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
  const auto batch =
      std::make_shared<const jobs::Batch>(std::exchange(batch_, {}));
  auto waiters = std::exchange(waiters_, {});
  host_.Record(batch, [weak = weak_from_this(), batch,
                       waiters = std::move(waiters)](Recorded it) mutable {
    if (const auto self = weak.lock()) {
      self->OnRecorded(it, *batch, std::move(waiters));
    } else {
      std::ranges::for_each(waiters, [&](auto& done) { done(it); });
    }
  });
}

void Leader::OnRecorded(Recorded recorded,
                        const jobs::Batch& batch,
                        std::vector<RecordedDone> waiters) {
  is_recording_ = false;
  if (recorded == Recorded::kYes) {
    for (const auto& [worker, cursor] : batch.cursors) {
      if (jobs::WorkerSession* session = FindSession(worker)) {
        session->OnRecorded(cursor);
        Serve(*session);
      }
    }
    // A boot that was given up may come back, and be lost again.
    for (const jobs::WorkerBoot& boot : batch.removed_workers) {
      leaving_.erase(boot);
    }
    metrics_.jobs_accepted.Add(batch.jobs.size());
  } else {
    leaving_.clear();
    // Ends would not be listed again: they are recorded with the next batch.
    std::ranges::copy(batch.ends, std::back_inserter(batch_.ends));
    std::ranges::copy(batch.cursors, std::back_inserter(batch_.cursors));
  }
  needs_plan_ = true;
  std::ranges::for_each(waiters, [&](auto& done) { done(recorded); });
  if (recorded != Recorded::kUnsure) {
    Flush();
  }
}

void Leader::OnApplied(const jobs::Changes& changes) {
  needs_plan_ = true;
  if (changes.has_worker_changes) {
    SyncSessions();
  }
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
    advice_.ForgetJob(job);
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
  jobs::PlanSources sources;
  sources.usable_workers = [this] { return UsableWorkers(); };
  sources.idle_advice_hosts = [this, now] {
    return advice_.CountIdleHosts(host_.Advisers(now), now);
  };
  jobs::Plan plan = scheduler_.MakePlan(host_.table(), advice_, sources, now);
  std::ranges::move(plan.starts, std::back_inserter(batch_.starts));
  AskAdvice(plan.advice_requests);
}

// Sessions and records are sorted by the same ids, and a session has a record
// but for a moment.
std::vector<const jobs::WorkerRecord*> Leader::UsableWorkers() const {
  const base::Instant now = host_.Now();
  const auto& workers = host_.table().workers();
  std::vector<const jobs::WorkerRecord*> usable;
  auto record = workers.begin();
  for (const auto& [id, session] : sessions_) {
    while (record != workers.end() && record->first < id) {
      ++record;
    }
    const bool is_recorded = record != workers.end() && record->first == id;
    if (is_recorded && session.IsUsable(now)) {
      usable.push_back(&record->second);
    }
  }
  metrics_.workers_usable.Set(static_cast<double>(usable.size()));
  return usable;
}

void Leader::BeginOccurrences() {
  const base::WallMs wall = host_.WallNow();
  for (const auto* it : host_.table().active() | std::views::values) {
    const jobs::JobRecord& job = *it;
    const uint64_t next =
        job.occurrences.empty() ? 0 : job.occurrences.rbegin()->first + 1;
    const bool is_due =
        job.spec.IsRecurring() && next < job.spec.occurrences &&
        wall >= job.spec.first_due_ms +
                    static_cast<int64_t>(next) * job.spec.interval_ms;
    if (is_due && !is_recording_) {
      batch_.occurrences.push_back({job.id, next});
    }
  }
}

void Leader::EndLostWorkers() {
  const base::Instant now = host_.Now();
  for (auto& [id, session] : sessions_) {
    if (!session.IsLost(now) || !leaving_.insert(session.boot()).second) {
      continue;
    }
    Decision("worker-lost")
        .With("worker", id)
        .With("boot", session.boot().started_ms)
        .With("ended", session.HasExited())
        .Write();
    metrics_.workers_lost.Add();
    const jobs::WorkerRecord& record = host_.table().workers().at(id);
    for (const jobs::OpenRun& run : record.runs) {
      batch_.ends.push_back({session.boot(), run.task, run.run,
                             jobs::RunOutcome::kLeaseExpired,
                             session.CheckpointOf(run.task, run.run)});
    }
    batch_.removed_workers.push_back(session.boot());
  }
}

void Leader::AskAdvice(const std::vector<jobs::AdviceRequest>& wishes) {
  const auto askings =
      advice_.AssignQueries(wishes, host_.Advisers(host_.Now()), host_.Now());
  for (const jobs::AssignedQuery& asking : askings) {
    metrics_.questions.Add();
    host_.Ask(asking.host, asking.query, asking.expected + kAdviceSlack,
              [weak = weak_from_this(), asking, asked = host_.Now()](
                  const std::optional<std::vector<jobs::Permit>>& permits) {
                if (const auto self = weak.lock()) {
                  self->OnAdvice(asking, permits, asked);
                }
              });
  }
}

void Leader::OnAdvice(const jobs::AssignedQuery& asking,
                      const std::optional<std::vector<jobs::Permit>>& permits,
                      base::Instant asked) {
  const base::Instant now = host_.Now();
  Decision("advice")
      .With("job", asking.query.step.job)
      .With("step", asking.query.step.step)
      .With("host", asking.host)
      .With("named", asking.query.workers.size())
      .With("allowed", permits ? static_cast<int64_t>(permits->size()) : -1)
      .With("took_us", now - asked)
      .Write();
  if (permits) {
    advice_.OnAnswer(asking.query.id, *permits, now);
  } else {
    metrics_.questions_failed.Add();
    advice_.OnFailure(asking.query.id, now);
  }
  needs_plan_ = true;
  Flush();
}

void Leader::Tick() {
  EndLostWorkers();
  BeginOccurrences();
  BeginRound();
  needs_plan_ = true;
  Flush();
}

}  // namespace sassafras::jobcontrol
