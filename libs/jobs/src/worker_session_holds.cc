// The session's long polls: when they are sent, and what the lists in their
// replies prove about runs.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "jobs/worker_session.h"

namespace sassafras::jobs {
namespace {

constexpr auto kHoldWait = std::chrono::milliseconds(700);
// The same while many calls get no answer. An end during a lost hold is noticed
// later by up to this and the reply limit, which together are less than what
// short tasks with tight objectives can spare.
constexpr auto kShortHoldWait = std::chrono::milliseconds(300);
// Holds without an answer that are followed by one that doesn't wait, which
// shows at once whether the worker is there. One that is cut off for longer is
// asked less often.
constexpr uint32_t kMaxImmediateHolds = 2;
// After a connection that failed at once.
constexpr auto kHoldRetryDelay = std::chrono::milliseconds(50);
// A worker that refuses connections says by a heartbeat that it is back.
constexpr auto kRefusedHoldRetryDelay = std::chrono::milliseconds(200);
// Maximum time that the next hold is delayed while reported run ends are being
// recorded.
constexpr auto kMaxRecordDelay = std::chrono::milliseconds(800);
// A list of run ends that reaches this length may be truncated.
constexpr size_t kMaxListedEnds = 500;

}  // namespace

std::optional<HoldCall> WorkerSession::TakeHold(base::Instant now) {
  const bool is_unrecorded = reported_cursor_ > recorded_cursor_;
  if (has_open_hold_ || now < next_hold_ ||
      (is_unrecorded && now < hold_sent_ + kMaxRecordDelay)) {
    return std::nullopt;
  }
  HoldCall call;
  // A later boot that has taken the place of a worker numbers its ends anew,
  // and must not forget those that nobody has read.
  call.end_cursor = MayBeLost(now) ? 0 : recorded_cursor_;
  call.lease_until_ms = ExtendLease(now);
  call.wait = NextHoldWait();
  call.reply_limit = reply_limit_.Get();
  has_open_hold_ = true;
  hold_sent_ = now;
  hold_wait_ = call.wait;
  hold_reply_limit_ = call.reply_limit;
  return call;
}

base::Duration WorkerSession::NextHoldWait() const {
  const bool is_immediate =
      failed_holds_ > 0 && failed_holds_ <= kMaxImmediateHolds;
  if (!has_replied_ || is_immediate) {
    return {};
  }
  return has_call_loss_ ? kShortHoldWait : kHoldWait;
}

HoldOutcome WorkerSession::OnHoldReply(const HoldReply& reply,
                                       base::Instant now) {
  has_open_hold_ = false;
  HoldOutcome outcome{{}, reported_cursor_};
  if (!reply.is_answered) {
    OnFailedHold(reply.is_refused, now);
    return outcome;
  }
  const bool is_prompt = std::exchange(failed_holds_, 0) == 0;
  if (hold_wait_ == base::Duration{}) {
    reply_limit_.OnAnswer(now - hold_sent_);
  }
  NoteAnswer();
  refused_since_.reset();
  lease_.OnClock(now, reply.clock_ms);
  // From now on the worker rejects the calls of earlier sessions.
  if (!has_replied_ && !is_settled_) {
    lease_.RestartInheritance(now);
  }
  has_replied_ = true;
  last_reply_ = now;
  last_heard_ = now;
  running_ = reply.running;
  runs_nothing_ = false;
  TakeEnds(reply, is_prompt, now, outcome);
  if (reply.ended.size() + reply.unread_ends < kMaxListedEnds) {
    ReconcileRuns(reply, outcome);
  }
  return outcome;
}

void WorkerSession::OnFailedHold(bool is_refused, base::Instant now) {
  ++failed_holds_;
  failed_hold_due_ = hold_sent_ + hold_wait_;
  const bool is_overdue = now >= failed_hold_due_ + hold_reply_limit_;
  next_hold_ = is_overdue ? now : now + kHoldRetryDelay;
  if (is_overdue) {
    reply_limit_.OnNoAnswer();
    // Slow answers to a new leader's first looks aren't lost ones.
    unanswered_calls_ += has_replied_ ? 1 : 0;
  }
  if (is_refused) {
    next_hold_ = now + kRefusedHoldRetryDelay;
    refused_since_ = refused_since_.value_or(now);
  }
}

void WorkerSession::TakeEnds(const HoldReply& reply,
                             bool is_prompt,
                             base::Instant now,
                             HoldOutcome& outcome) {
  for (const EndReport& report : reply.ended) {
    const auto run = runs_.extract({report.task, report.run});
    if (report.number > reported_cursor_) {
      outcome.ends.push_back({info_.boot, report.task, report.run,
                              report.outcome, report.checkpoint});
      if (is_prompt && !run.empty() && run.mapped().begun_at &&
          report.outcome == RunOutcome::kDone) {
        outcome.ends.back().took_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - *run.mapped().begun_at)
                .count();
      }
      outcome.end_cursor = std::max(outcome.end_cursor, report.number);
    }
  }
  reported_cursor_ = outcome.end_cursor;
}

// Compares the runs of the session with a list of all that run on the worker.
void WorkerSession::ReconcileRuns(const HoldReply& reply,
                                  HoldOutcome& outcome) {
  std::set<RunKey> running;
  for (const RunReport& report : reply.running) {
    const RunKey key(report.task, report.run);
    running.insert(key);
    // This session doesn't know the run: it was ordered for an earlier boot or
    // has been abandoned.
    if (!runs_.contains(key)) {
      runs_[key].phase = Phase::kStopping;
      may_have_due_orders_ = true;
    }
  }
  // A row that can't be read may be that of any run.
  const bool is_list_whole = reply.unread_running == 0;
  std::vector<RunKey> closed;
  for (auto& [key, state] : runs_) {
    auto end = ReconcileRun(key, state, running.contains(key));
    if (end && is_list_whole) {
      outcome.ends.push_back(*std::move(end));
      closed.push_back(key);
    }
  }
  std::ranges::for_each(closed, [this](auto& key) { runs_.erase(key); });
  runs_nothing_ = is_list_whole && runs_.empty();
}

// Updates the state of a run that a hold reply doesn't list as ended. Returns
// its end if the reply proves that it will never run.
std::optional<EndRun> WorkerSession::ReconcileRun(const RunKey& key,
                                                  RunState& state,
                                                  bool is_running) {
  if (is_running) {
    MarkBegun(key, state);
    if (state.phase == Phase::kInherited || state.phase == Phase::kQueued ||
        state.phase == Phase::kStarting) {
      state.phase = Phase::kStarted;
    }
    return std::nullopt;
  }
  // The hold carried this leader's fencing token, so the worker no longer
  // starts runs ordered by earlier leaders.
  const base::Duration stop_time =
      state.has_run ? options_.stop_time : base::Duration{};
  const bool is_gone = state.phase == Phase::kInherited ||
                       (state.phase == Phase::kStopped &&
                        hold_sent_ >= state.stopped_at + stop_time);
  if (!is_gone) {
    return std::nullopt;
  }
  return EndRun{info_.boot, key.first, key.second, RunOutcome::kRejected, ""};
}

void WorkerSession::OnRecorded(uint64_t cursor) {
  recorded_cursor_ = std::max(recorded_cursor_, cursor);
}

}  // namespace sassafras::jobs
