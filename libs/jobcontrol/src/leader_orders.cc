// The leader's calls to workers: sends orders and holds, and processes their
// replies.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "jobs/pacing.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using jobs::FormatTaskName;
using telemetry::Decision;

// Limits the calls between two turns of the event loop, so that a pass over
// many workers doesn't delay consensus heartbeats.
constexpr size_t kMaxCallsPerTurn = 16;
// Of a fencing token, those that number the sessions of a term. The others hold
// the term, which leaves room for 2^29 terms below 2^53, where JSON is exact.
constexpr int kSessionBits = 24;

// A worker that has answered a call of a session does nothing for calls of
// earlier ones: neither for those of earlier leaders, nor for those that were
// meant for an earlier boot under its id.
uint64_t FencingTokenOf(uint64_t term, const jobs::WorkerSession& session) {
  return (term << kSessionBits) + session.number();
}

}  // namespace

void Leader::Dispatch(const jobs::StartRun& start) {
  jobs::WorkerSession* session = FindSession(start.worker);
  const jobs::JobRecord* job = context_.table().FindJob(start.task.step.job);
  const jobs::StepRecord* step = context_.table().FindStep(start.task.step);
  // A later record of the same turn may have ended the job or the run.
  if (session == nullptr || job == nullptr || step == nullptr) {
    return;
  }
  const jobs::StepSpec& spec = job->spec.steps[start.task.step.step];
  jobs::StartOrder order{start.task, start.run, job->spec.payload};
  if (spec.has_checkpoints) {
    order.checkpoint = spec.is_gang ? step->checkpoint
                                    : step->tasks[start.task.index].checkpoint;
  }
  const std::string* ticket =
      advice_.Ticket(start.task.step, start.worker, context_.Now());
  if (ticket != nullptr) {
    order.ticket = *ticket;
  }
  Decision("start")
      .With("task", FormatTaskName(start.task))
      .With("run", start.run)
      .With("worker", start.worker.id)
      .With("boot", start.worker.started_ms)
      .With("term", options_.term)
      .With("copy", start.is_copy)
      .Write();
  metrics_.runs_started.Add();
  scheduler_.OnStart(context_.table(), start, context_.Now());
  WatchSuspect(start);
  session->Start(std::move(order));
  // It was planned before the worker said so. Without a lease it is never sent.
  if (session->IsLeaving()) {
    StopRun(*session, start.task, start.run);
  }
  SendPendingCalls(*session);
}

void Leader::StopRunsOf(const wire::JobId& job) {
  const jobs::JobRecord* ended = context_.table().FindJob(job);
  if (ended == nullptr || !ended->HasOpenRuns()) {
    return;
  }
  for (const auto& record : context_.table().workers() | std::views::values) {
    jobs::WorkerSession* session = FindSession(record.info.boot);
    for (const jobs::OpenRun& run : record.runs) {
      if (session != nullptr && run.task.step.job == job) {
        StopRun(*session, run.task, run.run);
      }
    }
    if (session != nullptr) {
      SendPendingCalls(*session);
    }
  }
}

void Leader::StopSurplusRun(const jobs::StartRun& run) {
  jobs::WorkerSession* session = FindSession(run.worker);
  if (session == nullptr) {
    return;
  }
  Decision("surplus-run")
      .With("task", FormatTaskName(run.task))
      .With("run", run.run)
      .With("worker", run.worker.id)
      .Write();
  StopRun(*session, run.task, run.run);
  SendPendingCalls(*session);
}

bool Leader::StopRun(jobs::WorkerSession& session,
                     const jobs::TaskKey& task,
                     uint64_t run) {
  if (auto end = session.Stop(task, run)) {
    AddEnd(*std::move(end), EndProof::kUnsent);
    return true;
  }
  return false;
}

void Leader::StopRunsOn(jobs::WorkerSession& session,
                        const jobs::WorkerRecord& record) {
  for (const jobs::OpenRun& run : record.runs) {
    StopRun(session, run.task, run.run);
  }
  SendPendingCalls(session);
}

// A worker whose capacity has shrunk, or that drains, carries out starts all
// the same. Runs that it has confirmed go on.
void Leader::StopUnfittingStarts(const jobs::WorkerBoot& worker) {
  const jobs::WorkerRecord* record = context_.table().FindWorker(worker.id);
  jobs::WorkerSession* session = FindSession(worker);
  if (record == nullptr || session == nullptr) {
    return;
  }
  jobs::Resources used = record->load.used;
  // The latest starts give way. One that may have reached the worker still
  // counts, so that an earlier one isn't repeated beside it.
  for (const jobs::OpenRun& run :
       std::vector(record->runs.rbegin(), record->runs.rend())) {
    const bool is_welcome =
        !record->info.is_draining && used.Fits(record->info.capacity);
    if (is_welcome || !session->IsStartPending(run.task, run.run)) {
      continue;
    }
    Decision("start-withdrawn")
        .With("task", FormatTaskName(run.task))
        .With("run", run.run)
        .With("worker", worker.id)
        .Write();
    if (StopRun(*session, run.task, run.run)) {
      used -= run.charge;
    }
  }
  SendPendingCalls(*session);
}

// Whether the task still has to run. A task that an earlier run has completed
// may have a later run that is yet to be stopped.
bool Leader::IsWanted(const jobs::TaskKey& task) const {
  const jobs::JobRecord* job = context_.table().FindJob(task.step.job);
  const jobs::TaskRecord* record =
      job == nullptr ? nullptr : job->FindTask(task);
  return record != nullptr && job->phase == jobs::JobPhase::kActive &&
         !record->is_done;
}

// Sends the pending calls of all sessions, a few per turn of the event loop. A
// new leader has to call every worker, and its followers must still receive its
// consensus heartbeats meanwhile.
void Leader::StartCallRound() {
  if (is_call_round_active_) {
    return;
  }
  is_call_round_active_ = true;
  last_called_worker_ = {};
  ContinueCallRound();
}

void Leader::ContinueCallRound() {
  size_t calls = 0;
  auto it = sessions_.upper_bound(last_called_worker_);
  while (it != sessions_.end() && calls < kMaxCallsPerTurn) {
    last_called_worker_ = it->first;
    calls += SendPendingCalls(it->second);
    it = sessions_.upper_bound(last_called_worker_);
  }
  if (it == sessions_.end()) {
    is_call_round_active_ = false;
    return;
  }
  context_.Defer([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ContinueCallRound();
    }
  });
}

// Sends the calls that the session has pending and returns their number.
size_t Leader::SendPendingCalls(jobs::WorkerSession& session) {
  const base::Instant now = context_.Now();
  const jobs::WorkerBoot boot = session.boot();
  // The runs of a worker that was declared lost are about to be recorded as
  // ended. Until then, none of them may be started or kept alive.
  if (workers_being_removed_.contains(boot) || IsReplaced(session)) {
    return 0;
  }
  const SessionId session_id{boot, session.number()};
  const uint64_t fencing_token = FencingTokenOf(options_.term, session);
  session.OnLeadership(context_.LeadershipConfirmedAt());
  session.OnCallLoss(call_loss_.IsHigh());
  const auto orders = session.TakeOrders(now);
  size_t calls = orders.size();
  for (const jobs::OrderCall& call : orders) {
    context_.workers().Order(
        session.info(), call, fencing_token,
        [weak = weak_from_this(), session_id, id = call.id](const auto& reply) {
          if (const auto self = weak.lock()) {
            self->OnOrderReply(session_id, id, reply);
          }
        });
  }
  if (const auto call = session.TakeHold(now)) {
    ++calls;
    context_.workers().Hold(
        session.info(), *call, fencing_token,
        [weak = weak_from_this(), session_id](const auto& reply) {
          if (const auto self = weak.lock()) {
            self->OnHoldReply(session_id, reply);
          }
        });
  }
  return calls;
}

void Leader::NoteCallLoss(jobs::WorkerSession& session) {
  const bool was_high = call_loss_.IsHigh();
  call_loss_.Add(session.TakeCallCounts(), context_.Now());
  if (call_loss_.IsHigh() != was_high) {
    Decision("call-loss").With("is_high", !was_high).Write();
  }
}

void Leader::OnOrderReply(const SessionId& id,
                          uint64_t call,
                          const jobs::OrderReply& reply) {
  jobs::WorkerSession* next = FindNextBoot(id);
  jobs::WorkerSession* session = next != nullptr ? next : FindSession(id);
  if (session == nullptr) {
    return;
  }
  if (reply.result == jobs::OrderResult::kNoAnswer) {
    metrics_.orders_unanswered.Add();
  }
  if (reply.result != jobs::OrderResult::kAccepted) {
    Decision("order-failed")
        .With("worker", id.boot.id)
        .With("result", static_cast<int>(reply.result))
        .Write();
  }
  auto end = session->OnOrderReply(call, reply, context_.Now());
  NoteCallLoss(*session);
  if (next != nullptr) {
    OnNextBootReply(*next, {});
    return;
  }
  if (end) {
    AddEnd(*std::move(end), EndProof::kRejected);
  }
  NoteBegunJobs(*session);
  SendPendingCalls(*session);
  Flush();
}

void Leader::OnHoldReply(const SessionId& id, const jobs::HoldReply& reply) {
  if (jobs::WorkerSession* next = FindNextBoot(id)) {
    OnNextBootReply(*next, next->OnHoldReply(reply, context_.Now()).ends);
    return;
  }
  jobs::WorkerSession* session = FindSession(id);
  if (session == nullptr) {
    AddLateReports(id.boot, reply);
    return;
  }
  const bool was_usable = session->IsUsable(context_.Now());
  const bool has_refused = session->RefusesConnections();
  jobs::HoldOutcome outcome = session->OnHoldReply(reply, context_.Now());
  NoteCallLoss(*session);
  const bool is_usable = session->IsUsable(context_.Now());
  needs_plan_ |= is_usable != was_usable;
  has_freed_room_ |= is_usable && !was_usable;
  NoteBegunJobs(*session);
  if (!outcome.ends.empty()) {
    for (const jobs::EndRun& end : outcome.ends) {
      AddEndFromLists(end);
    }
    batch_.cursors.push_back({id.boot, outcome.end_cursor});
  }
  // Without a reply the session still holds the rows of an earlier hold reply,
  // which must not be evaluated twice.
  if (reply.is_answered) {
    PaceFillers(*session);
    StopStragglers(*session);
  } else if (!has_refused && session->RefusesConnections()) {
    NoteCrash(*session);
  }
  SendPendingCalls(*session);
  Flush();
}

const jobs::StepSpec* Leader::FindStepSpec(const jobs::TaskKey& task) const {
  const jobs::JobRecord* job = context_.table().FindJob(task.step.job);
  const bool is_known =
      job != nullptr && task.step.step < job->spec.steps.size();
  return is_known ? &job->spec.steps[task.step.step] : nullptr;
}

// Slows down fillers on a worker where a long-running task misses its latency
// target.
void Leader::PaceFillers(jobs::WorkerSession& session) {
  const jobs::WorkerRecord* record =
      context_.table().FindWorker(session.boot().id);
  if (record == nullptr || record->load.fillers == 0) {
    return;
  }
  std::vector<jobs::PacedRun> runs;
  for (const jobs::RunReport& row : session.running()) {
    const jobs::StepSpec* spec = FindStepSpec(row.task);
    if (spec == nullptr) {
      continue;
    }
    const auto it = filler_paces_.find({row.task, row.run});
    runs.push_back({row.task, row.run, spec->is_filler,
                    spec->is_lasting ? spec->target_latency_ms : 0,
                    row.latency_or_cpu,
                    it == filler_paces_.end() ? jobs::kFullPace : it->second});
  }
  for (const jobs::PaceOrder& pace : jobs::DecidePaces(runs)) {
    filler_paces_[{pace.task, pace.run}] = pace.percent;
    session.Pace(pace.task, pace.run, pace.percent);
    Decision("pace")
        .With("task", FormatTaskName(pace.task))
        .With("worker", session.boot().id)
        .With("percent", pace.percent)
        .Write();
  }
}

// Queries about copies would take hosts from steps that wait, so steps that
// need advice get none.
bool Leader::StaysBesideCopy(const jobs::Straggler& straggler) const {
  const jobs::JobRecord* job =
      context_.table().FindJob(straggler.task.step.job);
  const jobs::TaskRecord* task =
      job == nullptr ? nullptr : job->FindTask(straggler.task);
  const jobs::Queue* queue =
      job == nullptr ? nullptr : context_.table().FindQueue(job->queue);
  if (task == nullptr || queue == nullptr || queue->advice.is_required ||
      !context_.MayStartCopies() ||
      straggler.kind != jobs::StragglerKind::kSlow) {
    return false;
  }
  return task->is_copy_open || task->MayHaveCopy(*FindStepSpec(straggler.task));
}

// Stops runs that would finish sooner on another worker, or has the scheduler
// start copies of them. It restarts those that were stopped elsewhere.
void Leader::StopStragglers(jobs::WorkerSession& session) {
  std::vector<jobs::MonitoredRun> runs;
  for (const jobs::RunReport& row : session.running()) {
    const jobs::StepSpec* spec = FindStepSpec(row.task);
    if (spec != nullptr && !spec->is_lasting && !spec->is_filler) {
      runs.push_back({row.task, row.run, row.percent, spec->is_gang});
    }
  }
  for (const jobs::Straggler& straggler :
       progress_.OnPoll(runs, context_.Now())) {
    Decision("straggler")
        .With("task", FormatTaskName(straggler.task))
        .With("run", straggler.run)
        .With("worker", session.boot().id)
        .With("stuck", straggler.kind == jobs::StragglerKind::kStuck)
        .Write();
    if (StaysBesideCopy(straggler)) {
      scheduler_.OnSlowRun(straggler.task, straggler.run);
      progress_.OnGoesOn(straggler.task, straggler.run);
      continue;
    }
    scheduler_.OnStraggler(straggler.task, session.boot(), context_.Now());
    StopRun(session, straggler.task, straggler.run);
  }
}

}  // namespace sassafras::jobcontrol
