// Performs the dispatcher's effects and reports their results to it as events.

#include <algorithm>
#include <array>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>

#include "entry_driver.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::entry {
namespace {

// Timeout of one call to the control leader for an admission.
constexpr auto kCommitTimeout = std::chrono::milliseconds(1000);
// Maximum size of the stored body if the answer's service isn't in the
// document.
constexpr size_t kDefaultMaxStoredBytes = 65'536;

// Returns the time until `deadline`, at least 1 ms.
base::Duration TimeUntil(base::Instant deadline) {
  return std::max<base::Duration>(deadline - kernel::MonotonicNow(),
                                  std::chrono::milliseconds(1));
}

int64_t ToMs(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

routing::UpstreamFailure FailureOf(http::TryError code) {
  switch (code) {
    case http::TryError::kNotConnected:
    case http::TryError::kRefused:
      return routing::UpstreamFailure::kConnect;
    case http::TryError::kTimeout:
      return routing::UpstreamFailure::kTimeout;
    default:
      return routing::UpstreamFailure::kBrokenOff;
  }
}

// Sets the fields of `event` that describe an existing admission. `details`
// come from a kDuplicate result of an Admit command or from a query.
void FillExistingAdmission(const nlohmann::json& details,
                           routing::AdmitResolved& event) {
  wire::CodecReason why;
  const auto state = wire::FromValue<wire::AdmissionState>(
      details.value("state", nlohmann::json()), why);
  event.stored_state = state.value_or(wire::AdmissionState::kUnknown);
  event.holder = wire::EntryId(details.value("entry", ""));
  event.holder_incarnation =
      wire::Incarnation(details.value("incarnation", ""));
  event.outcome = event.stored_state == wire::AdmissionState::kOpen
                      ? routing::AdmitOutcome::kAttached
                      : routing::AdmitOutcome::kStored;
  const auto answer = details.find("answer");
  if (answer != details.end() && answer->is_object()) {
    event.stored_status = answer->value("status", 0U);
  }
}

routing::AdmitOutcome OutcomeOf(wire::ResultCode code) {
  switch (code) {
    case wire::ResultCode::kOk:
      return routing::AdmitOutcome::kAdmitted;
    case wire::ResultCode::kConflict:
      return routing::AdmitOutcome::kConflict;
    case wire::ResultCode::kForbidden:
      return routing::AdmitOutcome::kFull;
    case wire::ResultCode::kStale:
      return routing::AdmitOutcome::kStale;
    default:
      return routing::AdmitOutcome::kNotRun;
  }
}

// Returns the outcome of a call whose reply has no usable result.
routing::AdmitOutcome OutcomeWithoutResult(wire::ReplyStatus status) {
  return status == wire::ReplyStatus::kUnknown ? routing::AdmitOutcome::kUnknown
                                               : routing::AdmitOutcome::kNotRun;
}

wire::ForwardCall MakeForwardCall(const RequestState& state,
                                  const routing::ForwardTo& effect) {
  const CallerRequest& caller = state.caller;
  wire::ForwardCall call;
  call.service = caller.service;
  call.owner = caller.owner;
  call.priority = caller.priority;
  call.timeout_ms = ToMs(TimeUntil(effect.deadline));
  call.is_idempotent = caller.is_idempotent;
  call.key = effect.key;
  call.digest = state.digest;
  call.is_first_sending = effect.is_first_sending;
  call.method = caller.request.method;
  call.target = caller.request.target;
  call.headers = caller.request.headers;
  call.body = nlohmann::json::binary_t(
      {caller.request.body.begin(), caller.request.body.end()});
  return call;
}

routing::RelayOutcome OutcomeOf(wire::RelayState state) {
  switch (state) {
    case wire::RelayState::kCompleted:
      return routing::RelayOutcome::kCompleted;
    case wire::RelayState::kNotRun:
      return routing::RelayOutcome::kNotRun;
    case wire::RelayState::kNotKnown:
      return routing::RelayOutcome::kNotKnown;
    case wire::RelayState::kUnknown:
      return routing::RelayOutcome::kUnknown;
  }
  return routing::RelayOutcome::kUnknown;
}

}  // namespace

template <typename Member, typename Context>
cluster::ReplyDone EntryDriver::OnStrand(Member member, Context context) {
  return [self = shared_from_this(), member,
          context](const wire::ControlReply& reply) {
    boost::asio::post(
        self->dependencies_.strand,
        [self, member, context, reply] { ((*self).*member)(context, reply); });
  };
}

// --- upstreams ---

void EntryDriver::Perform(const routing::SendToUpstream& effect) {
  const auto it = requests_.find(effect.request);
  if (it == requests_.end()) {
    return;
  }
  http::UpstreamTry upstream_try;
  upstream_try.target = {effect.address, effect.port,
                         std::max<size_t>(1, effect.connections)};
  upstream_try.request = it->second.caller.request;
  upstream_try.is_idempotent = effect.is_idempotent;
  upstream_try.limit = TimeUntil(effect.deadline);
  upstream_try.write_until = effect.session_until;
  pool_->Send(std::move(upstream_try), [self = shared_from_this(), effect](
                                           std::optional<http::Answer> answer,
                                           const http::TryReason& why) {
    boost::asio::post(self->dependencies_.strand,
                      [self, effect, it = std::move(answer), why] {
                        self->OnTryDone(effect, it, why);
                      });
  });
}

void EntryDriver::OnTryDone(const routing::SendToUpstream& effect,
                            std::optional<http::Answer> answer,
                            const http::TryReason& why) {
  if (!answer) {
    const bool any_byte_sent = !http::IsUnsent(why.code);
    Step(routing::UpstreamFailed{effect.request, effect.try_id, any_byte_sent,
                                 FailureOf(why.code)});
    return;
  }
  // Only entries set Sassafras-* headers. Drops those of the upstream, so that
  // it can't forge an outcome.
  std::erase_if(answer->headers, [](const auto& it) {
    return boost::algorithm::istarts_with(it.first, "Sassafras-");
  });
  const auto status = static_cast<uint32_t>(answer->status);
  const auto it = requests_.find(effect.request);
  if (it != requests_.end()) {
    it->second.answers.emplace(effect.try_id, *std::move(answer));
  }
  Step(routing::UpstreamFinished{effect.request, effect.try_id, status});
}

// --- admissions ---

void EntryDriver::Perform(const routing::ProposeAdmit& effect) {
  wire::Admit command;
  command.key = effect.key;
  command.owner = effect.owner;
  command.service = effect.service;
  command.digest = effect.digest;
  command.entry = dependencies_.settings.process.name;
  command.incarnation = effect.incarnation;
  command.serial = effect.request.value();
  command.retention_ms = ToMs(effect.retention);
  dependencies_.client.Propose(
      command, kCommitTimeout,
      OnStrand(&EntryDriver::OnAdmitReply, effect.request));
}

void EntryDriver::OnAdmitReply(routing::RequestId request,
                               const wire::ControlReply& reply) {
  routing::AdmitResolved event;
  event.request = request;
  wire::CodecReason why;
  const auto result = wire::FromValue<wire::CommandResult>(reply.body, why);
  if (reply.status != wire::ReplyStatus::kOk || !result) {
    event.outcome = OutcomeWithoutResult(reply.status);
  } else if (result->code == wire::ResultCode::kDuplicate) {
    FillExistingAdmission(result->details, event);
    KeepStoredAnswer(request, result->details);
  } else {
    event.outcome = OutcomeOf(result->code);
  }
  Step(event);
}

void EntryDriver::Perform(const routing::ReadAdmission& effect) {
  dependencies_.client.Call(
      "query",
      {{"kind", "admission"}, {"name", effect.key}, {"owner", effect.owner}},
      kCommitTimeout, cluster::Resend::kYes,
      OnStrand(&EntryDriver::OnAdmissionRead, effect));
}

void EntryDriver::OnAdmissionRead(const routing::ReadAdmission& effect,
                                  const wire::ControlReply& reply) {
  routing::AdmitResolved event;
  event.request = effect.request;
  if (reply.status != wire::ReplyStatus::kOk) {
    event.outcome = OutcomeWithoutResult(reply.status);
  } else if (!reply.body.value("found", false)) {
    event.outcome = routing::AdmitOutcome::kNone;
  } else {
    const nlohmann::json& value = reply.body["value"];
    FillExistingAdmission(value, event);
    KeepStoredAnswer(effect.request, value);
    if (value.value("digest", "") != effect.digest) {
      event.outcome = routing::AdmitOutcome::kConflict;
    } else if (event.stored_state == wire::AdmissionState::kNotRun) {
      event.outcome = routing::AdmitOutcome::kNone;
    }
  }
  Step(event);
}

void EntryDriver::KeepStoredAnswer(routing::RequestId request,
                                   const nlohmann::json& details) {
  const auto it = requests_.find(request);
  wire::CodecReason why;
  const auto stored = wire::FromValue<wire::StoredAnswer>(
      details.value("answer", nlohmann::json()), why);
  if (it != requests_.end() && stored && stored->status != 0) {
    it->second.stored = FromStored(*stored);
  }
}

void EntryDriver::Perform(const routing::ProposeClose& effect) {
  wire::CloseAdmission command;
  command.key = effect.key;
  command.owner = effect.owner;
  command.entry = dependencies_.settings.process.name;
  command.incarnation = effect.incarnation;
  command.serial = effect.request.value();
  command.outcome = effect.outcome;
  const auto it = requests_.find(effect.request);
  if (it != requests_.end()) {
    const auto document = session_->document();
    const auto* policy =
        document ? document->FindService(it->second.caller.service) : nullptr;
    const size_t max_body_bytes =
        policy ? static_cast<size_t>(policy->max_answer_bytes)
               : kDefaultMaxStoredBytes;
    const auto answer = it->second.answers.find(effect.answered_by);
    if (answer != it->second.answers.end()) {
      command.answer = ToStored(answer->second, max_body_bytes);
    }
  }
  dependencies_.client.Propose(
      command, kCommitTimeout,
      OnStrand(&EntryDriver::OnCloseReply, effect.request));
}

void EntryDriver::OnCloseReply(routing::RequestId request,
                               const wire::ControlReply& reply) {
  routing::CloseResolved event;
  event.request = request;
  wire::CodecReason why;
  const auto result = wire::FromValue<wire::CommandResult>(reply.body, why);
  if (reply.status == wire::ReplyStatus::kUnknown) {
    event.outcome = routing::CloseOutcome::kUnknown;
  } else if (reply.status != wire::ReplyStatus::kOk || !result) {
    event.outcome = routing::CloseOutcome::kNotCommitted;
  } else {
    const bool is_closed = result->code == wire::ResultCode::kOk ||
                           result->code == wire::ResultCode::kDuplicate;
    event.outcome = is_closed ? routing::CloseOutcome::kCommitted
                              : routing::CloseOutcome::kStale;
  }
  Step(event);
}

// --- other entries ---

void EntryDriver::Perform(const routing::ForwardTo& effect) {
  const auto it = requests_.find(effect.request);
  if (it == requests_.end()) {
    return;
  }
  CallEntry(effect.entry, "entry/forward",
            wire::EncodeCbor(MakeForwardCall(it->second, effect)),
            effect.deadline, effect.request);
}

void EntryDriver::Perform(const routing::QueryOutcome& effect) {
  const wire::AskCall call{effect.incarnation, effect.owner, effect.key,
                           ToMs(TimeUntil(effect.deadline))};
  CallEntry(effect.entry, "entry/ask", wire::EncodeCbor(call), effect.deadline,
            effect.request);
}

void EntryDriver::CallEntry(const wire::EntryId& entry,
                            std::string_view method,
                            std::string body,
                            base::Instant deadline,
                            routing::RequestId request) {
  const auto it = requests_.find(request);
  const bool is_watched =
      it != requests_.end() && !it->second.caller.is_idempotent;
  const auto watch = is_watched ? it->second.caller.watch : nullptr;
  peers_->Call(
      entry, method, std::move(body), TimeUntil(deadline),
      [self = shared_from_this(), request](std::optional<std::string> answer,
                                           const peer::CallReason& why) {
        boost::asio::post(self->dependencies_.strand,
                          [self, request, it = std::move(answer), why] {
                            self->OnRelayReply(request, it, why);
                          });
      },
      watch);
}

void EntryDriver::OnRelayReply(routing::RequestId request,
                               std::optional<std::string> body,
                               const peer::CallReason& why) {
  routing::RelayResolved event;
  event.request = request;
  wire::CodecReason codec_why;
  const auto answer =
      body ? wire::DecodeCbor<wire::RelayAnswer>(*body, codec_why)
           : std::nullopt;
  if (answer) {
    event.outcome = OutcomeOf(answer->state);
    event.status = answer->answer.status;
    const auto it = requests_.find(request);
    if (it != requests_.end()) {
      it->second.relayed = FromStored(answer->answer);
    }
  } else {
    const bool is_known_unsent =
        !body && (why.code == peer::CallError::kNotSent ||
                  why.code == peer::CallError::kRefused);
    event.outcome = is_known_unsent ? routing::RelayOutcome::kNotSent
                                    : routing::RelayOutcome::kStreamFailed;
  }
  Step(event);
}

// --- answers ---

void EntryDriver::Perform(const routing::Respond& effect) {
  const auto it = requests_.find(effect.request);
  if (it == requests_.end() || !it->second.on_final_answer) {
    return;
  }
  metrics_.CountOutcome(effect.outcome);
  it->second.final_answer = MakeFinalAnswer(effect, requests_);
  const FinalAnswerCallback on_final_answer =
      std::exchange(it->second.on_final_answer, nullptr);
  on_final_answer(*it->second.final_answer);
}

void EntryDriver::Perform(const routing::Forget& effect) {
  requests_.erase(effect.request);
}

void EntryDriver::Perform(const routing::DecisionLog& effect) {
  telemetry::Decision("routing")
      .With("what", effect.what)
      .With("request", effect.request)
      .With("owner", effect.owner)
      .With("service", effect.service)
      .With("choice", effect.choice)
      .With("candidates", effect.candidates)
      .With("why", effect.why)
      .With("took_us", effect.took)
      .With("document", effect.document_version)
      .Write();
  metrics_.CountDecision(effect);
}

}  // namespace sassafras::entry
