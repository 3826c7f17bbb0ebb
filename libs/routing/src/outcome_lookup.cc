// Handling of requests that this entry hasn't run: reads of the admission log,
// outcome queries to the entry that admitted the key, and results of forwards.

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

constexpr base::Duration kRetryAfterNoQuorum = std::chrono::seconds(1);
// Maximum number of outcome queries for one request.
constexpr uint32_t kMaxOutcomeQueries = 16;

}  // namespace

void Dispatcher::Impl::ReadAdmissionLog(Request& request) {
  const RequestArrived& arrival = request.arrival;
  request.stage = Stage::kReadingAdmission;
  effects_.emplace_back(ReadAdmission{arrival.request, arrival.owner,
                                      arrival.key, arrival.digest});
}

void Dispatcher::Impl::OnAdmissionRead(Request& request,
                                       const AdmitResolved& event) {
  if (!request.IsAwaited()) {
    Finish(request);
    return;
  }
  switch (event.outcome) {
    case AdmitOutcome::kNone:
      if (request.pending_answer.code.empty()) {
        RouteRequest(request);  // never admitted, or closed as not run
      } else {
        if (request.may_run_elsewhere) {
          request.pending_answer.outcome = Outcome::kUnknown;
        }
        Reply(request, request.pending_answer);
        Finish(request);
      }
      return;
    case AdmitOutcome::kAttached:
      QueryHolder(request, event);
      return;
    case AdmitOutcome::kStored:
      ReplyStored(request, event);
      return;
    case AdmitOutcome::kConflict:
      ReplyKeyConflict(request);
      return;
    default:
      ReplyNotAdmitted(request, "the admission log could not be read");
      Finish(request);
  }
}

void Dispatcher::Impl::QueryHolder(Request& request,
                                   const AdmitResolved& event) {
  const RequestArrived& arrival = request.arrival;
  request.stage_retry_at = base::Instant::max();
  ++request.outcome_queries;
  if (event.holder == options_.entry ||
      request.outcome_queries > kMaxOutcomeQueries) {
    ReplyOutcomeLost(
        request, "outcome-lost",
        "the outcome is lost: an earlier incarnation of this entry admitted "
        "the key, or too many entries were asked for it");
    return;
  }
  request.stage = Stage::kQueryingEntry;
  effects_.emplace_back(QueryOutcome{arrival.request, event.holder,
                                     event.holder_incarnation, arrival.owner,
                                     arrival.key, arrival.deadline});
  LogDecision(request, "ask", event.holder.str(), 1,
              "the request with this key is in progress at that entry");
}

// Returns the complete answer of the other entry.
void Dispatcher::Impl::ReplyRelayed(Request& request,
                                    const RelayResolved& event) {
  Reply(request,
        {Outcome::kCompleted, event.status, {}, {}, {}, AnswerSource::kRelay});
  Finish(request);
}

// Answers a request of which it can no longer be determined whether it ran.
void Dispatcher::Impl::ReplyOutcomeLost(Request& request,
                                        const std::string& code,
                                        const std::string& message) {
  Reply(request, {Outcome::kUnknown, 502, code, message, kRetryAfterNoQuorum});
  Finish(request);
}

void Dispatcher::Impl::OnForwardResolved(Request& request,
                                         const RelayResolved& event) {
  if (!request.IsAwaited()) {
    Finish(request);
    return;
  }
  switch (event.outcome) {
    case RelayOutcome::kCompleted:
      ReplyRelayed(request, event);
      return;
    case RelayOutcome::kUnknown:
      if (request.arrival.is_idempotent) {
        request.may_have_run = true;
        OnTryFailed(request);
        return;
      }
      ReplyOutcomeLost(
          request, "forward-unknown",
          "the entry that the request was forwarded to lost its outcome");
      return;
    case RelayOutcome::kStreamFailed:
      // The other entry may have admitted or run the request. A request that
      // must not run twice is admitted next, which shows whether it did; for an
      // idempotent request this counts as a failed try.
      request.arrival.is_first_sending = false;
      request.may_run_elsewhere = true;
      request.may_have_run = request.arrival.is_idempotent;
      if (request.NeedsAdmission()) {
        RouteRequest(request);
      } else {
        OnTryFailed(request);
      }
      return;
    default:
      OnForwardRefused(request);
  }
}

void Dispatcher::Impl::OnQueryResolved(Request& request,
                                       const RelayResolved& event) {
  if (!request.IsAwaited()) {
    Finish(request);
    return;
  }
  switch (event.outcome) {
    case RelayOutcome::kCompleted:
      ReplyRelayed(request, event);
      return;
    case RelayOutcome::kUnknown:
      ReplyOutcomeLost(request, "outcome-lost",
                       "the entry that ran the request lost its outcome");
      return;
    case RelayOutcome::kNotRun:
      request.pending_answer = {};
      RouteRequest(request);
      return;
    default:
      // The entry has ended or has closed the key in the meantime, so the
      // admission log has the outcome or will have it soon.
      request.pending_answer = {};
      request.stage = Stage::kReadingAdmission;
      ScheduleStageRetry(request);
  }
}

}  // namespace sassafras::routing
