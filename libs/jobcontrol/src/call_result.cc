// Reads the statuses and bodies of replies.

#include "call_result.h"

#include <chrono>
#include <utility>

#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

// Of a call that has had no effect.
CallOutcome OutcomeOfNotRun(const wire::ControlReply& reply) {
  switch (reply.denial) {
    case wire::Denial::kUnauthenticated:
      return CallOutcome::kUnauthenticated;
    case wire::Denial::kConflict:
      return CallOutcome::kConflict;
    case wire::Denial::kUnverified:  // until the copy of the manifest is newer
    case wire::Denial::kNone:
      break;
  }
  return reply.IsOverloaded() ? CallOutcome::kOverloaded
                              : CallOutcome::kUnavailable;
}

}  // namespace

CallResult ResultOf(const wire::ControlReply& reply) {
  using enum wire::ReplyStatus;
  CallResult result;
  result.message = reply.message;
  switch (reply.status) {
    case kOk:
      result.outcome = CallOutcome::kOk;
      break;
    case kRefused:
      result.outcome = CallOutcome::kNoQueue;
      break;
    case kUnknown:
      result.outcome = CallOutcome::kUnknown;
      break;
    case kNotRun:
    case kNotLeader:
      result.outcome = OutcomeOfNotRun(reply);
      result.retry_after = std::chrono::milliseconds(reply.retry_after_ms);
      break;
  }
  return result;
}

std::string_view LeaderReasonOf(wire::Denial denial) {
  switch (denial) {
    case wire::Denial::kUnauthenticated:
      return "denied-by-leader";
    case wire::Denial::kConflict:
      return "id-in-use";
    case wire::Denial::kUnverified:
      return "not-checked";
    case wire::Denial::kNone:
      break;
  }
  return "none";
}

ReplyHandler ReplyWithJobStatus(CallDone done) {
  return [done = std::move(done)](const wire::ControlReply& reply) {
    CallResult result = ResultOf(reply);
    wire::CodecReason why;
    const auto job = wire::FromValue<JobStatus>(reply.body, why);
    result.job = job.value_or(JobStatus{});
    done(result);
  };
}

ReplyHandler ReplyWithCount(CallDone done) {
  return [done = std::move(done)](const wire::ControlReply& reply) {
    CallResult result = ResultOf(reply);
    wire::CodecReason why;
    const auto waiting = wire::FromValue<uint64_t>(reply.body, why);
    result.waiting = waiting.value_or(0);
    done(result);
  };
}

}  // namespace sassafras::jobcontrol
