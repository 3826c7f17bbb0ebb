// The leader's dealings with workers: orders, holds, and what their answers
// lead to.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "jobs/pacing.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

constexpr size_t kCallsPerTurn = 16;

std::string TextOf(const jobs::TaskKey& task) {
  return task.step.job.str() + "." + std::to_string(task.step.occurrence) +
         "." + std::to_string(task.step.step) + "." +
         std::to_string(task.index);
}

}  // namespace

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
  scheduler_.OnStart(start, host_.Now());
  session->Start(std::move(order));
  Serve(*session);
}

void Leader::StopRunsOf(const wire::JobId& job) {
  if (!host_.table().FindJob(job)->HasOpenRuns()) {
    return;
  }
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

// Serves all sessions, a few calls at a time: a new leader has to call every
// worker at once, and its followers must hear it meanwhile.
void Leader::BeginRound() {
  if (is_in_round_) {
    return;
  }
  is_in_round_ = true;
  last_served_ = {};
  ContinueRound();
}

void Leader::ContinueRound() {
  size_t calls = 0;
  auto it = sessions_.upper_bound(last_served_);
  while (it != sessions_.end() && calls < kCallsPerTurn) {
    last_served_ = it->first;
    calls += Serve(it->second);
    it = sessions_.upper_bound(last_served_);
  }
  if (it == sessions_.end()) {
    is_in_round_ = false;
    return;
  }
  host_.Defer([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ContinueRound();
    }
  });
}

// Makes the calls that the session wants now, and tells their number.
size_t Leader::Serve(jobs::WorkerSession& session) {
  const base::Instant now = host_.Now();
  const jobs::WorkerBoot boot = session.boot();
  const auto orders = session.TakeOrders(now);
  size_t calls = orders.size();
  for (const jobs::OrderCall& call : orders) {
    host_.workers().Order(
        session.info(), call, options_.term,
        [weak = weak_from_this(), boot, id = call.id](const auto& reply) {
          if (const auto self = weak.lock()) {
            self->OnOrderReply(boot, id, reply);
          }
        });
  }
  if (const auto call = session.TakeHold(now)) {
    ++calls;
    host_.workers().Hold(session.info(), *call, options_.term,
                         [weak = weak_from_this(), boot](const auto& reply) {
                           if (const auto self = weak.lock()) {
                             self->OnHoldReply(boot, reply);
                           }
                         });
  }
  return calls;
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
  // Without an answer the session still shows what an earlier look did.
  if (reply.is_answered) {
    PaceFillers(*session);
    StopLaggards(*session);
  }
  Serve(*session);
  Flush();
}

void Leader::AddEnd(jobs::EndRun end) {
  Decision("end")
      .With("task", TextOf(end.task))
      .With("run", end.run)
      .With("worker", end.worker.id)
      .With("how", nlohmann::json(end.outcome).get<std::string>())
      .Write();
  auto& counter = end.outcome == jobs::RunOutcome::kRejected
                      ? metrics_.runs_rejected
                      : metrics_.runs_ended;
  counter.Add();
  paces_.erase({end.task, end.run});
  scheduler_.OnEnd(host_.table(), end, host_.Now());
  progress_.OnEnd(end.task, end.run, end.outcome == jobs::RunOutcome::kDone,
                  host_.Now());
  const bool is_rejected = end.outcome == jobs::RunOutcome::kRejected;
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
  for (const jobs::RunReport& row : session.running()) {
    const jobs::StepSpec* spec = SpecOf(row.task);
    if (spec == nullptr) {
      continue;
    }
    const auto it = paces_.find({row.task, row.run});
    runs.push_back({row.task, row.run, spec->is_filler,
                    spec->is_lasting ? spec->target_latency_ms : 0,
                    row.latency_or_cpu,
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
  std::vector<jobs::MonitoredRun> runs;
  for (const jobs::RunReport& row : session.running()) {
    const jobs::StepSpec* spec = SpecOf(row.task);
    if (spec != nullptr && !spec->is_lasting && !spec->is_filler) {
      runs.push_back({row.task, row.run, row.percent, spec->is_gang});
    }
  }
  for (const jobs::Straggler& it : progress_.OnPoll(runs, host_.Now())) {
    Decision("laggard")
        .With("task", TextOf(it.task))
        .With("run", it.run)
        .With("worker", session.boot().id)
        .With("stuck", it.kind == jobs::StragglerKind::kStuck)
        .Write();
    scheduler_.OnStraggler(it.task, session.boot(), host_.Now());
    if (auto end = session.Stop(it.task, it.run)) {
      AddEnd(*std::move(end));
    }
  }
}

}  // namespace sassafras::jobcontrol
