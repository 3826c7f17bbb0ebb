// The leader's plans: gathers what they need, uses what they decide, and
// queries the placement service.

#include <chrono>
#include <utility>

#include "jobcontrol/leader.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

// Added to the placement service's own expected time to answer a query.
constexpr auto kAdviceTimeoutMargin = std::chrono::milliseconds(600);
constexpr auto kWaitingLogPause = std::chrono::seconds(2);

void AddRoom(Decision& line, const jobs::RoomReport& room) {
  line.With("needed", room.needed)
      .With("room_in_pool", room.room_in_pool)
      .With("room_permitted", room.room_permitted)
      .With("room_unreserved", room.room_unreserved)
      .With("room_with_ticket", room.room_with_ticket)
      .With("room_if_empty", room.room_if_empty)
      .With("permitted_workers", room.permitted_workers)
      .With("answered_workers", room.answered_workers)
      .With("reserved_workers", room.reserved_workers)
      .With("late", room.is_late)
      .With("waited_us", room.waited);
}

}  // namespace

void Leader::PlanStarts() {
  const base::Instant now = context_.Now();
  jobs::PlanSources sources = MakePlanSources();
  sources.reports_room = now >= next_waiting_log_;
  jobs::Plan plan =
      scheduler_.MakePlan(context_.table(), advice_, sources, now);
  LogWaitingSteps(plan.waiting);
  UsePlan(std::move(plan), PlanScope::kAllSteps, now);
}

void Leader::PlanUrgentSteps() {
  const base::Instant now = context_.Now();
  jobs::Plan plan =
      scheduler_.MakePlanFor(urgent_steps_, MakePlanSources(), now);
  UsePlan(std::move(plan), PlanScope::kUrgentSteps, now);
}

jobs::PlanSources Leader::MakePlanSources() const {
  jobs::PlanSources sources;
  sources.usable_workers = [this] { return UsableWorkers(); };
  sources.awaited_workers = [this] { return AwaitedWorkers(); };
  sources.idle_advice_hosts = [this] {
    const base::Instant now = context_.Now();
    return advice_.CountIdleHosts(context_.LiveAdvisers(now), now);
  };
  sources.is_usable = [this](const jobs::WorkerBoot& boot) {
    const auto it = sessions_.find(boot.id);
    return it != sessions_.end() && it->second.boot() == boot &&
           it->second.IsUsable(context_.Now()) && !IsAboutToChange(boot);
  };
  return sources;
}

void Leader::UsePlan(jobs::Plan plan, PlanScope scope, base::Instant begin) {
  const base::Duration took = context_.Now() - begin;
  metrics_.plan_time.Observe(took);
  Decision("plan")
      .With("scope", scope == PlanScope::kAllSteps ? "all" : "urgent")
      .With("took_us", took)
      .With("answer_waited_us", first_unused_answer_
                                    ? begin - *first_unused_answer_
                                    : base::Duration{})
      .With("workers", sessions_.size())
      .With("jobs", context_.table().active().size())
      .With("ready", plan.ready_steps)
      .With("without_room", plan.steps_without_room)
      .With("starts", plan.starts.size())
      .With("reserved", plan.reserved_workers.size())
      .With("queries", plan.advice_requests.size())
      .With("queries_open", advice_.CountOpenQueries())
      .Write();
  first_unused_answer_.reset();
  urgent_steps_.clear();
  has_freed_room_ = false;
  std::ranges::move(plan.starts, std::back_inserter(batch_.starts));
  RequestAdvice(plan.advice_requests);
}

// Says now and then why steps that could run wait.
void Leader::LogWaitingSteps(std::span<const jobs::WaitingReason> waiting) {
  const base::Instant now = context_.Now();
  if (now < next_waiting_log_) {
    return;
  }
  next_waiting_log_ = now + kWaitingLogPause;
  for (const jobs::WaitingReason& it : waiting) {
    Decision line("waiting");
    line.With("job", it.step.job)
        .With("occurrence", it.step.occurrence)
        .With("step", it.step.step)
        .With("reason", nlohmann::json(it.reason).get<std::string>());
    const jobs::JobRecord* job = context_.table().FindJob(it.step.job);
    if (job != nullptr && !job->customer.empty()) {
      line.With("customer", job->customer);
    }
    if (it.room) {
      AddRoom(line, *it.room);
    }
    line.Write();
  }
}

// Sessions and records are both sorted by worker id, which allows a linear
// merge. A session may briefly lack a record.
template <typename Condition>
std::vector<const jobs::WorkerRecord*> Leader::RecordsIf(
    Condition condition) const {
  const auto& workers = context_.table().workers();
  std::vector<const jobs::WorkerRecord*> found;
  auto record = workers.begin();
  for (const auto& [id, session] : sessions_) {
    while (record != workers.end() && record->first < id) {
      ++record;
    }
    const bool is_recorded = record != workers.end() && record->first == id;
    if (is_recorded && condition(session) && !IsAboutToChange(session.boot())) {
      found.push_back(&record->second);
    }
  }
  return found;
}

std::vector<const jobs::WorkerRecord*> Leader::UsableWorkers() const {
  auto usable = RecordsIf([now = context_.Now()](const auto& session) {
    return session.IsUsable(now);
  });
  metrics_.workers_usable.Set(static_cast<double>(usable.size()));
  return usable;
}

std::vector<const jobs::WorkerRecord*> Leader::AwaitedWorkers() const {
  return RecordsIf(
      [](const auto& session) { return session.AwaitsFirstReply(); });
}

// Whether the next batch changes the description of the worker, which may then
// have less capacity than the table says, or be draining; or whether its next
// boot is there already.
bool Leader::IsAboutToChange(const jobs::WorkerBoot& worker) const {
  return next_boots_.contains(worker.id) ||
         std::ranges::any_of(batch_.workers,
                             [&](auto& info) { return info.boot == worker; });
}

void Leader::AddDueOccurrences() {
  if (!recording_) {
    batch_.occurrences = table_guard_.DueOccurrences(
        context_.table(), context_.WallNow(), context_.Now());
  }
}

void Leader::ForgetEndedJobs() {
  if (!recording_) {
    batch_.forgotten =
        table_guard_.JobsToForget(context_.table(), context_.Now());
  }
}

// Adds the steps of the occurrence, of which those that are ready are planned
// at once.
void Leader::AddUrgentSteps(const jobs::JobRecord& job, uint64_t occurrence) {
  for (uint32_t n = 0; n < job.spec.steps.size(); ++n) {
    urgent_steps_.insert({job.id, occurrence, n});
  }
}

// The last end of a step makes those ready that depend on it.
void Leader::OnEndRecorded(const jobs::EndRun& end) {
  const jobs::StepKey& key = end.task.step;
  const jobs::JobRecord* job = context_.table().FindJob(key.job);
  const jobs::StepRecord* step = context_.table().FindStep(key);
  if (end.outcome == jobs::RunOutcome::kDone && job != nullptr &&
      step != nullptr && step->IsDone() &&
      job->phase == jobs::JobPhase::kActive) {
    AddUrgentSteps(*job, key.occurrence);
  }
}

void Leader::RequestAdvice(const std::vector<jobs::AdviceRequest>& requests) {
  const auto queries = advice_.AssignQueries(
      requests, context_.LiveAdvisers(context_.Now()), context_.Now());
  for (const jobs::AssignedQuery& assigned : queries) {
    metrics_.advice_queries.Add();
    context_.QueryAdvice(
        assigned.host, assigned.query, assigned.expected + kAdviceTimeoutMargin,
        [weak = weak_from_this(), assigned, sent_at = context_.Now()](
            const std::optional<std::vector<jobs::Permit>>& permits) {
          if (const auto self = weak.lock()) {
            self->OnAdvice(assigned, permits, sent_at);
          }
        });
  }
}

void Leader::OnAdvice(const jobs::AssignedQuery& assigned,
                      const std::optional<std::vector<jobs::Permit>>& permits,
                      base::Instant sent_at) {
  const base::Instant now = context_.Now();
  Decision("advice")
      .With("job", assigned.query.step.job)
      .With("step", assigned.query.step.step)
      .With("host", assigned.host)
      .With("candidates", assigned.query.workers.size())
      .With("permitted", permits ? static_cast<int64_t>(permits->size()) : -1)
      .With("took_us", now - sent_at)
      .With("expected_us", assigned.expected)
      .Write();
  first_unused_answer_ = first_unused_answer_.value_or(now);
  urgent_steps_.insert(assigned.query.step);
  if (permits) {
    advice_.OnAnswer(assigned.query.id, *permits, now);
  } else {
    metrics_.advice_queries_failed.Add();
    advice_.OnFailure(assigned.query.id, now);
  }
  needs_plan_ = true;
  Flush();
}

}  // namespace sassafras::jobcontrol
