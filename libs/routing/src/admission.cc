// Handling of requests that must not run twice: the admission is committed
// before the first byte is sent and the outcome before the answer is returned.
// Either commit may be unresolved for a while or for good.

#include <algorithm>
#include <string>

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

constexpr base::Duration kRetryAfterNoQuorum = std::chrono::seconds(1);
constexpr base::Duration kRetryAfterFull = std::chrono::seconds(5);
constexpr base::Duration kMaxRetryPause = std::chrono::seconds(1);

}  // namespace

// --- admission ---

// A retry uses the same key and incarnation, which makes the command
// idempotent.
void Dispatcher::Impl::ProposeAdmission(Request& request) {
  const RequestArrived& arrival = request.arrival;
  request.stage = Stage::kAdmitting;
  if (request.admitted_under.empty()) {
    request.admitted_under = incarnation_;
  }
  effects_.emplace_back(
      ProposeAdmit{arrival.request, request.admitted_under, arrival.owner,
                   arrival.service, arrival.key, arrival.digest,
                   ServiceOf(arrival.service).policy.answer_retention});
}

void Dispatcher::Impl::OnAdmission(Request& request,
                                   const AdmitResolved& event) {
  if (!request.IsAwaited()) {
    OnUnawaitedAdmission(request, event);
    return;
  }
  switch (event.outcome) {
    case AdmitOutcome::kAdmitted:
      OnAdmitted(request);
      return;
    case AdmitOutcome::kAttached:
      ReleaseSlot(request);
      QueryHolder(request, event);
      return;
    case AdmitOutcome::kStored:
      ReleaseSlot(request);
      ReplyStored(request, event);
      return;
    case AdmitOutcome::kConflict:
      ReleaseSlot(request);
      ReplyKeyConflict(request);
      return;
    case AdmitOutcome::kUnknown:
      request.may_be_admitted = true;
      ScheduleStageRetry(request);
      return;
    case AdmitOutcome::kFull:
      OnAdmissionsFull(request);
      return;
    default:
      OnNotAdmitted(request, event.outcome == AdmitOutcome::kNotRun);
  }
}

// Called if nobody waits for the answer any more. An admitted request is closed
// without being dispatched.
void Dispatcher::Impl::OnUnawaitedAdmission(Request& request,
                                            const AdmitResolved& event) {
  ReleaseSlot(request);
  if (event.outcome == AdmitOutcome::kAdmitted) {
    request.is_admitted = true;
    CloseAdmission(request, wire::AdmissionState::kNotRun, {Outcome::kNotRun});
  } else if (event.outcome == AdmitOutcome::kUnknown ||
             ((event.outcome == AdmitOutcome::kNotRun ||
               event.outcome == AdmitOutcome::kFull) &&
              request.may_be_admitted)) {
    request.may_be_admitted = true;
    ScheduleStageRetry(request);
  } else {
    Finish(request);
  }
}

void Dispatcher::Impl::OnAdmitted(Request& request) {
  request.is_admitted = true;
  request.stage_retry_at = base::Instant::max();
  request.stage_timeout_at = base::Instant::max();
  UpdateTimer(request);
  if (request.upstream.empty()) {
    // The slot was released when the first caller was answered. Only a later
    // sending of the same key still waits, and its caller may send it again.
    CloseAdmission(
        request, wire::AdmissionState::kNotRun,
        {Outcome::kNotRun, 503, "given-up",
         "an earlier request with this key was abandoned before it ran",
         kRetryAfterNoQuorum});
    return;
  }
  SendTry(request);
}

// `was_not_proposed` means that the last proposal certainly wasn't made. An
// earlier proposal of the same request may still be committed.
void Dispatcher::Impl::OnNotAdmitted(Request& request, bool was_not_proposed) {
  ReplyNotAdmitted(
      request,
      "the request was not admitted because the cluster has no quorum");
  ReleaseSlot(request);
  if (was_not_proposed && request.may_be_admitted) {
    ScheduleStageRetry(request);
  } else {
    Finish(request);
  }
}

// The admission log has no admission of the key, so no earlier sending ran
// either.
void Dispatcher::Impl::OnAdmissionsFull(Request& request) {
  Reply(request, {Outcome::kNotRun, 503, "too-many-admissions",
                  "owner \"" + request.arrival.owner.str() +
                      "\" has reached its limit of open and stored requests",
                  kRetryAfterFull});
  ReleaseSlot(request);
  if (request.may_be_admitted) {
    ScheduleStageRetry(request);
  } else {
    Finish(request);
  }
}

// Answers a request that this entry hasn't dispatched and won't dispatch.
void Dispatcher::Impl::ReplyNotAdmitted(Request& request,
                                        const std::string& message) {
  if (request.IsNotRunCertain()) {
    Reply(request, {Outcome::kNotRun, 503, "not-admitted", message,
                    kRetryAfterNoQuorum});
  } else {
    Reply(request, {Outcome::kUnknown, 503, "not-admitted",
                    message + "; an earlier request with this key may have "
                              "run: resend the request with the same key",
                    kRetryAfterNoQuorum});
  }
}

void Dispatcher::Impl::ReplyStored(Request& request,
                                   const AdmitResolved& event) {
  switch (event.stored_state) {
    case wire::AdmissionState::kCompleted:
      LogDecision(request, "answer", "", 1,
                  "the admission log has the completed answer for this key");
      Reply(request, {Outcome::kCompleted,
                      event.stored_status,
                      {},
                      {},
                      {},
                      AnswerSource::kStored});
      break;
    case wire::AdmissionState::kNotRun:
      Reply(request, {Outcome::kNotRun, 503, "not-run",
                      "the admission log says that the request was not run",
                      kRetryAfterNoQuorum});
      break;
    default:
      Reply(request, {Outcome::kUnknown, 502, "outcome-lost",
                      "the session of the entry that ran the request ended "
                      "before its outcome "
                      "was committed"});
  }
  Finish(request);
}

void Dispatcher::Impl::ReplyKeyConflict(Request& request) {
  LogDecision(request, "refuse", "", 0, "key-conflict");
  Reply(request, {Outcome::kNotRun, 422, "key-conflict",
                  "key \"" + request.arrival.key.str() +
                      "\" was used for a different request"});
  Finish(request);
}

// --- outcome ---

void Dispatcher::Impl::CloseAdmission(Request& request,
                                      wire::AdmissionState outcome,
                                      const Answer& pending_answer) {
  request.close_outcome = outcome;
  request.pending_answer = pending_answer;
  request.stage_retry_at = base::Instant::max();
  request.stage_timeout_at = base::Instant::max();
  ProposePendingClose(request);
  UpdateTimer(request);
}

void Dispatcher::Impl::ProposePendingClose(Request& request) {
  const RequestArrived& arrival = request.arrival;
  request.stage = Stage::kClosing;
  effects_.emplace_back(ProposeClose{
      arrival.request, request.admitted_under, arrival.owner, arrival.key,
      request.close_outcome, request.pending_answer.answered_by});
}

void Dispatcher::Impl::On(const CloseResolved& event) {
  Request* request = requests_.Find(event.request);
  if (!request || request->stage != Stage::kClosing) {
    return;
  }
  switch (event.outcome) {
    case CloseOutcome::kCommitted:
      Reply(*request, request->pending_answer);
      Finish(*request);
      return;
    case CloseOutcome::kStale:
      Reply(*request, {Outcome::kUnknown, 502, "outcome-lost",
                       "this entry's session ended before the outcome was "
                       "committed"});
      Finish(*request);
      return;
    default:
      ScheduleStageRetry(*request);
  }
}

// --- retries of proposals and log reads ---

// The stage timeout starts when the first retry is scheduled.
void Dispatcher::Impl::ScheduleStageRetry(Request& request) {
  const base::Duration since = now_ - request.arrived_at;
  const base::Duration pause =
      std::clamp(since / 4, options_.commit_retry,
                 std::max(options_.commit_retry, kMaxRetryPause));
  request.stage_retry_at = now_ + pause;
  if (request.stage_timeout_at == base::Instant::max()) {
    request.stage_timeout_at = now_ + options_.commit_timeout;
  }
  UpdateTimer(request);
}

void Dispatcher::Impl::RetryStage(Request& request) {
  request.stage_retry_at = base::Instant::max();
  switch (request.stage) {
    case Stage::kAdmitting:
      ProposeAdmission(request);
      return;
    case Stage::kClosing:
      ProposePendingClose(request);
      return;
    case Stage::kReadingAdmission:
      ReadAdmissionLog(request);
      return;
    default:
      return;
  }
}

void Dispatcher::Impl::OnStageTimeout(Request& request) {
  request.stage_timeout_at = base::Instant::max();
  switch (request.stage) {
    case Stage::kWaiting:
      // With a slot granted in the meantime, the request stays queued.
      if (!upstreams_.HasUsable(now_, request.arrival.service)) {
        RemoveFromQueue(request);
        RefuseWithoutGrant(request);
      }
      return;
    case Stage::kAdmitting:
      ReplyNotAdmitted(request, "the admission could not be committed in time");
      ReleaseSlot(request);
      return;
    case Stage::kClosing:
      Reply(request, {Outcome::kUnknown, 503, "outcome-uncommitted",
                      "the outcome could not be committed in time: resend the "
                      "request with the same key",
                      kRetryAfterNoQuorum});
      return;
    case Stage::kReadingAdmission:
      ReplyNotAdmitted(request, "the admission log could not be read in time");
      Finish(request);
      return;
    default:
      return;
  }
}

}  // namespace sassafras::routing
