// Decides which calls to send to a worker and what its replies prove.

#include "jobs/worker_session.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace sassafras::jobs {
namespace {

// Orders that the worker may be about to answer. One that is overdue doesn't
// count, as it may be lost.
constexpr size_t kMaxOrdersInFlight = 3;
constexpr size_t kMaxOpenOrders = 8;
// After an answer that settles nothing, or a connection that failed at once. An
// order that was waited for in vain is repeated without a delay.
constexpr auto kOrderRetryDelay = std::chrono::milliseconds(150);
// A worker that has not replied to a hold for longer than this gets no new work
// and no lease renewal.
constexpr auto kMaxSilence = std::chrono::milliseconds(1600);
// Lease of a draining worker, which may leave at any time; it covers a hold and
// the delay of the next one.
constexpr base::Duration kDrainingLease = std::chrono::milliseconds(2000);
constexpr auto kUnhealthyPause = std::chrono::milliseconds(1000);
// More calls in a row without an answer show that the worker was cut off. They
// don't count as lost ones.
constexpr uint32_t kMaxLosses = 2;

// A worker's answer tells its clock; without it, a host on the way may have
// answered. Then an acceptance counts as no answer, and the order is repeated.
// A rejection stays one, so that the order goes elsewhere, once a stop has
// shown that it isn't carried out here.
OrderResult WordOfTheWorker(const OrderReply& reply) {
  const bool is_carried_out = reply.result == OrderResult::kAccepted ||
                              reply.result == OrderResult::kOutdated;
  return is_carried_out && !reply.clock_ms ? OrderResult::kNoAnswer
                                           : reply.result;
}

}  // namespace

WorkerSession::WorkerSession(const WorkerRecord& record,
                             const SessionOptions& options,
                             base::Instant now,
                             uint64_t number)
    : number_(number),
      info_(record.info),
      options_(options),
      lease_(now,
             record.is_settled ? options.inherited_lease : options.max_lease,
             options.stop_time),
      is_settled_(record.is_settled),
      leads_at_(now),
      last_reply_(now),
      last_heard_(now),
      recorded_cursor_(record.end_cursor),
      reported_cursor_(record.end_cursor) {
  for (const OpenRun& run : record.runs) {
    RunState state;
    state.sent_at = now;
    runs_.emplace(RunKey(run.task, run.run), std::move(state));
  }
}

void WorkerSession::OnHeartbeat(const WorkerInfo& info,
                                int64_t clock_ms,
                                base::Instant now) {
  info_ = info;
  OnHeard(clock_ms, now);
}

// A clock reading that took its time only makes the estimate of the worker's
// clock lag, which delays the end of a lease here and never there.
void WorkerSession::OnHeard(int64_t clock_ms, base::Instant now) {
  if (refused_since_) {
    refused_since_.reset();
    next_hold_ = now;
  }
  last_heard_ = now;
  last_heartbeat_ms_ = std::max(last_heartbeat_ms_, clock_ms);
  lease_.OnClock(now, clock_ms);
}

void WorkerSession::Start(StartOrder order) {
  RunState state;
  state.phase = Phase::kQueued;
  const RunKey key(order.task, order.run);
  state.order = std::move(order);
  runs_.insert_or_assign(key, std::move(state));
  may_have_due_orders_ = true;
}

std::optional<EndRun> WorkerSession::Stop(const TaskKey& task, uint64_t run) {
  const auto it = runs_.find({task, run});
  if (it == runs_.end()) {
    return std::nullopt;
  }
  RunState& state = it->second;
  const bool is_unsent = state.phase == Phase::kQueued && !state.is_in_flight &&
                         !state.may_start_late;
  if (is_unsent) {
    return CloseRun(it->first, RunOutcome::kRejected);
  }
  if (state.phase != Phase::kStopped) {
    state.phase = Phase::kStopping;
    state.next_order_at = {};
    may_have_due_orders_ = true;
  }
  return std::nullopt;
}

bool WorkerSession::IsStartPending(const TaskKey& task, uint64_t run) const {
  const auto it = runs_.find({task, run});
  return it != runs_.end() && (it->second.phase == Phase::kQueued ||
                               it->second.phase == Phase::kStarting);
}

void WorkerSession::Pace(const TaskKey& task, uint64_t run, uint32_t percent) {
  unsent_paces_.push_back({task, run, percent});
}

std::vector<OrderCall> WorkerSession::TakeOrders(base::Instant now) {
  std::vector<OrderCall> calls;
  if (!has_replied_ || (!may_have_due_orders_ && unsent_paces_.empty())) {
    return calls;
  }
  const base::Duration limit = reply_limit_.Get();
  const auto add_call = [&](Order order, InFlight in_flight) {
    in_flight.sent_at = now;
    in_flight.reply_limit = limit;
    in_flight_.emplace(++last_call_, std::move(in_flight));
    calls.push_back({last_call_, std::move(order), ExtendLease(now), limit});
  };
  may_have_due_orders_ = false;
  for (auto& [key, state] : runs_) {
    const bool needs_order = state.phase == Phase::kQueued ||
                             state.phase == Phase::kStarting ||
                             state.phase == Phase::kStopping;
    may_have_due_orders_ |= needs_order;
    if (IsBusy(now)) {
      may_have_due_orders_ = true;
      return calls;
    }
    const bool is_stop = state.phase == Phase::kStopping;
    const bool is_due =
        needs_order && !state.is_in_flight && now >= state.next_order_at;
    // A worker refuses a start without a lease, which would end the run.
    if (is_due && (is_stop || ExtendLease(now) != 0)) {
      state.is_in_flight = true;
      state.sent_at = state.sent_at.value_or(now);
      add_call(NextOrder(key, state), {key, is_stop, false});
    }
  }
  for (const PaceOrder& pace : std::exchange(unsent_paces_, {})) {
    add_call(pace, {{pace.task, pace.run}, false, true});
  }
  return calls;
}

bool WorkerSession::IsBusy(base::Instant now) const {
  const auto awaited = std::ranges::count_if(
      in_flight_ | std::views::values,
      [&](auto& it) { return now < it.sent_at + ReplyLimit::kMin; });
  return static_cast<size_t>(awaited) >= kMaxOrdersInFlight ||
         in_flight_.size() >= kMaxOpenOrders;
}

Order WorkerSession::NextOrder(const RunKey& key, const RunState& state) const {
  if (state.phase == Phase::kStopping) {
    return StopOrder{key.first, key.second};
  }
  return state.order;
}

std::optional<EndRun> WorkerSession::OnOrderReply(uint64_t id,
                                                  const OrderReply& reply,
                                                  base::Instant now) {
  const auto node = in_flight_.extract(id);
  const base::Duration took =
      node.empty() ? base::Duration{} : now - node.mapped().sent_at;
  const bool is_overdue = !node.empty() && took >= node.mapped().reply_limit;
  // A reply of another boot tells another clock.
  if (reply.clock_ms && reply.result != OrderResult::kOtherBoot) {
    last_heard_ = now;
    lease_.OnClock(now, *reply.clock_ms);
    if (!node.empty()) {
      last_order_reply_ = now;
      reply_limit_.OnAnswer(took);
      NoteAnswer();
    }
  } else if (reply.result == OrderResult::kNoAnswer && is_overdue) {
    reply_limit_.OnNoAnswer();
    ++unanswered_calls_;
  }
  if (node.empty() || node.mapped().is_pace) {
    return std::nullopt;
  }
  const auto it = runs_.find(node.mapped().run);
  if (it == runs_.end()) {
    return std::nullopt;
  }
  RunState& state = it->second;
  state.is_in_flight = false;
  const bool is_late = is_overdue && reply.result == OrderResult::kNoAnswer;
  state.next_order_at = is_late ? now : now + kOrderRetryDelay;
  const OrderResult result = WordOfTheWorker(reply);
  if (node.mapped().is_stop) {
    if (result == OrderResult::kAccepted || result == OrderResult::kOutdated) {
      MarkStopped(state, now);
    }
    return std::nullopt;
  }
  state.may_start_late |= !reply.clock_ms.has_value();
  return OnStartReply(it->first, state, result, now);
}

std::optional<EndRun> WorkerSession::OnStartReply(const RunKey& key,
                                                  RunState& state,
                                                  OrderResult result,
                                                  base::Instant now) {
  const bool is_wanted =
      state.phase == Phase::kQueued || state.phase == Phase::kStarting;
  switch (result) {
    case OrderResult::kAccepted:
      MarkBegun(key, state);
      if (!state.may_start_late && state.order.checkpoint.empty()) {
        state.begun_at = now;
      }
      if (is_wanted) {
        state.phase = Phase::kStarted;
      }
      return std::nullopt;
    case OrderResult::kNoAnswer:
      state.may_start_late = true;
      if (is_wanted) {
        state.phase = Phase::kStarting;
      }
      return std::nullopt;
    case OrderResult::kOutdated:
      MarkStopped(state, now);
      return std::nullopt;
    case OrderResult::kFenced:
    case OrderResult::kOtherBoot:
      // No conclusion is possible: a newer leader decides, or a later boot will
      // send a heartbeat.
      return std::nullopt;
    case OrderResult::kUnhealthy:
      unhealthy_until_ = now + kUnhealthyPause;
      break;
    case OrderResult::kTooLate:
    case OrderResult::kNoCapacity:
    case OrderResult::kNoTicket:
    case OrderResult::kMalformed:
      break;
  }
  if (!state.may_start_late) {
    return CloseRun(key, RunOutcome::kRejected);
  }
  // An earlier start order that got no reply may still be carried out. A stop
  // rules that out.
  state.phase = Phase::kStopping;
  state.next_order_at = now;
  may_have_due_orders_ = true;
  return std::nullopt;
}

// The worker will not start this run any more. The next hold reply tells
// whether it has run.
void WorkerSession::MarkStopped(RunState& state, base::Instant now) {
  state.phase = Phase::kStopped;
  state.stopped_at = now;
}

void WorkerSession::MarkBegun(const RunKey& key, RunState& state) {
  if (!std::exchange(state.has_run, true)) {
    begun_tasks_.push_back(key.first);
  }
}

std::vector<TaskKey> WorkerSession::TakeBegunTasks() {
  return std::exchange(begun_tasks_, {});
}

EndRun WorkerSession::CloseRun(const RunKey& key, RunOutcome outcome) {
  EndRun end{info_.boot, key.first, key.second, outcome, ""};
  runs_.erase(RunKey(key));
  return end;
}

bool WorkerSession::IsSilent(base::Instant now) const {
  return now - last_reply_ > kMaxSilence;
}

bool WorkerSession::MayBeLost(base::Instant now) const {
  return failed_holds_ > 0 || IsSilent(now);
}

void WorkerSession::NoteAnswer() {
  ++call_counts_.answered;
  const uint32_t unanswered = std::exchange(unanswered_calls_, 0);
  call_counts_.unanswered += unanswered <= kMaxLosses ? unanswered : 0;
}

// The lease of a worker that leaves or may be lost isn't renewed, so that its
// tasks can soon be restarted elsewhere.
int64_t WorkerSession::ExtendLease(base::Instant now) {
  if (MayBeLost(now) || is_leaving_ || withholds_lease_ || !leads_at_) {
    return 0;
  }
  const base::Duration length = info_.is_draining
                                    ? std::min(options_.lease, kDrainingLease)
                                    : options_.lease;
  return lease_.Extend(now, *leads_at_, length).value_or(0);
}

bool WorkerSession::HasAnsweredSinceFailedHold() const {
  return failed_holds_ == 1 && !refused_since_ &&
         last_order_reply_ >= failed_hold_due_;
}

bool WorkerSession::IsUsable(base::Instant now) const {
  const bool is_heard =
      !IsSilent(now) && (failed_holds_ == 0 || HasAnsweredSinceFailedHold());
  return has_replied_ && is_heard && now >= unhealthy_until_ &&
         !info_.is_draining && !is_leaving_;
}

bool WorkerSession::IsLost(base::Instant now) const {
  return (IsSilent(now) || is_leaving_) && lease_.HasEndedRuns(now);
}

base::Instant WorkerSession::LastSignOfLife() const {
  return refused_since_.value_or(last_heard_);
}

base::Duration WorkerSession::AgeAtLastSign(const TaskKey& task,
                                            uint64_t run) const {
  const auto it = runs_.find({task, run});
  if (it == runs_.end() || !it->second.sent_at) {
    return {};
  }
  return std::max(base::Duration{}, LastSignOfLife() - *it->second.sent_at);
}

bool WorkerSession::HasJustSettled(base::Instant now) {
  if (is_settled_) {
    return false;
  }
  is_settled_ = has_replied_ && lease_.HasInheritanceEnded(now);
  return is_settled_;
}

std::string WorkerSession::CheckpointOf(const TaskKey& task,
                                        uint64_t run) const {
  const auto it = std::ranges::find_if(running_, [&](auto& report) {
    return report.run == run && report.task == task;
  });
  return it == running_.end() ? "" : it->checkpoint;
}

}  // namespace sassafras::jobs
