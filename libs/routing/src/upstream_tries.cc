// Starts tries at upstreams and handles their results, failures and retries.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

constexpr base::Duration kRetryAfterFailure = std::chrono::seconds(1);
// A try may be shortened to no less than this many times the owner's usual hold
// time. One that takes longer can be considered failed.
constexpr int kMinTryTimeFactor = 8;
constexpr double kMicrosPerSecond = 1e6;

// True for complete answers that say that the upstream couldn't serve the
// request.
bool IsServerFailure(uint32_t status) {
  return status == 502 || status == 503 || status == 504;
}

}  // namespace

// Occupies a slot and sends the request. One that must not run twice is
// admitted before it is sent.
void Dispatcher::Impl::StartTry(Request& request,
                                Upstream& upstream,
                                uint32_t candidates) {
  upstreams_.Take(upstream);
  request.upstream = upstream.key;
  request.slot_since = now_;
  request.stage_timeout_at = base::Instant::max();
  LogDecision(
      request, "dispatch", upstream.route.upstream.str(), candidates,
      upstream.route.zone == options_.zone
          ? "least loaded upstream in the zone"
          : "no free slot in the zone; least loaded upstream elsewhere");
  if (request.NeedsAdmission() && !request.is_admitted) {
    ProposeAdmission(request);
  } else {
    SendTry(request);
  }
}

// Sends the request to its upstream. The session may have expired since the
// slot was occupied, so it is checked here, as the last step before the write.
void Dispatcher::Impl::SendTry(Request& request) {
  const Upstream* upstream = upstreams_.Find(request.upstream);
  const bool is_granted = upstream && upstream->is_listed &&
                          upstream->Occupied() <= upstream->route.slots;
  if (!upstreams_.HasSession(now_)) {
    ReleaseSlot(request);
    Refuse(request, 503, "no-session", "this entry has no valid session",
           kRetryAfterFailure);
    return;
  }
  if (!is_granted) {
    ReleaseSlot(request);
    RouteRequest(request);
    return;
  }
  ++request.tries;
  ++counters_.tries;
  request.try_id = TryId(++last_try_id_);
  request.stage = Stage::kRunning;
  effects_.emplace_back(SendToUpstream{
      request.arrival.request, request.try_id, upstream->route.upstream,
      upstream->route.address, upstream->route.port,
      upstream->route.connections, TryDeadline(request),
      upstreams_.session_until(), request.arrival.is_idempotent});
}

// A try of an idempotent request may use only half of the remaining time, so
// that a retry elsewhere can still succeed, provided that half is long compared
// to the measured hold time.
base::Instant Dispatcher::Impl::TryDeadline(const Request& request) {
  const RequestArrived& arrival = request.arrival;
  const Service& service = ServiceOf(arrival.service);
  const base::Duration left = arrival.deadline - now_;
  const base::Duration hold = service.estimate.HoldTime(arrival.owner);
  const bool is_half_enough =
      hold > base::Duration::zero() && left / 2 >= kMinTryTimeFactor * hold;
  const bool uses_half = arrival.is_idempotent && is_half_enough;
  return now_ + std::min(service.policy.timeout, uses_half ? left / 2 : left);
}

// Releases the slot of a try of which no byte was sent.
void Dispatcher::Impl::ReleaseSlot(Request& request) {
  if (!request.upstream.empty()) {
    upstreams_.ReleaseSlot(std::exchange(request.upstream, {}));
    SettleCost(request);
  }
}

// Replaces the estimated slot time charged to the owner with the actual one.
void Dispatcher::Impl::SettleCost(Request& request) {
  const base::Duration used = now_ - request.slot_since;
  ServiceOf(request.arrival.service)
      .queue.Adjust(
          request.arrival.owner,
          static_cast<double>(used.count()) / kMicrosPerSecond - request.cost);
  request.cost = 0;
  queues_to_process_.insert(request.arrival.service);
}

void Dispatcher::Impl::On(const UpstreamFinished& event) {
  Request* request = requests_.Find(event.request);
  if (!request || request->stage != Stage::kRunning ||
      request->try_id != event.try_id) {
    return;
  }
  const bool is_failure = IsServerFailure(event.status);
  const base::Duration used = now_ - request->slot_since;
  bool is_ejected = false;
  request->may_have_run = true;
  request->last_upstream = std::exchange(request->upstream, {});
  if (is_failure) {
    upstreams_.OnFailure(now_, request->last_upstream, now_, is_ejected);
  } else {
    upstreams_.OnSuccess(now_, request->last_upstream, used, is_ejected);
  }
  LogEjection(*request, is_ejected);
  Service& service = ServiceOf(request->arrival.service);
  service.estimate.Record(request->arrival.owner, used);
  SettleCost(*request);
  if (!is_failure) {
    service.budget.Earn();
  }
  const Answer answer{Outcome::kCompleted,     event.status, {}, {}, {},
                      AnswerSource::kUpstream, event.try_id};
  if (request->NeedsAdmission()) {
    CloseAdmission(*request, wire::AdmissionState::kCompleted, answer);
    return;
  }
  if (is_failure && request->IsAwaited() && ScheduleRetry(*request)) {
    return;
  }
  Reply(*request, answer);
  Finish(*request);
}

void Dispatcher::Impl::On(const UpstreamFailed& event) {
  Request* request = requests_.Find(event.request);
  if (!request || request->stage != Stage::kRunning ||
      request->try_id != event.try_id) {
    return;
  }
  // After a timeout the upstream may still be working on the request.
  const bool may_go_on =
      event.any_byte_sent && event.failure == UpstreamFailure::kTimeout;
  const base::Instant hold_until =
      may_go_on ? now_ + options_.abandoned_slot_time : now_;
  request->may_have_run |= event.any_byte_sent;
  request->last_upstream = std::exchange(request->upstream, {});
  bool is_ejected = false;
  upstreams_.OnFailure(now_, request->last_upstream, hold_until, is_ejected);
  LogEjection(*request, is_ejected);
  SettleCost(*request);
  OnTryFailed(*request);
}

void Dispatcher::Impl::OnTryFailed(Request& request) {
  if (request.NeedsAdmission() && request.may_have_run) {
    const Answer answer{Outcome::kUnknown, 502, "upstream-failed",
                        "the upstream failed after the request was sent",
                        kRetryAfterFailure};
    Reply(request, answer);
    CloseAdmission(request, wire::AdmissionState::kUnknown, answer);
    return;
  }
  if (request.IsAwaited() && ScheduleRetry(request)) {
    return;
  }
  Refuse(request, request.may_have_run ? 502 : 503, "upstream-failed",
         "no try at an upstream succeeded", kRetryAfterFailure);
}

// Queues the request for another try if the retry budget and the deadline
// allow.
bool Dispatcher::Impl::ScheduleRetry(Request& request) {
  if (now_ >= request.arrival.deadline ||
      !upstreams_.HasUsable(now_, request.arrival.service) ||
      !ServiceOf(request.arrival.service).budget.Spend()) {
    return false;
  }
  ++counters_.retries;
  LogDecision(request, "retry", "", 0,
              "failed tries: " + std::to_string(request.tries));
  Enqueue(request, true);
  return true;
}

void Dispatcher::Impl::LogEjection(const Request& request, bool is_ejected) {
  if (is_ejected) {
    ++counters_.ejections;
    LogDecision(request, "eject", request.last_upstream, 0,
                "too many consecutive failures, a failed probe, or too slow");
  }
}

}  // namespace sassafras::routing
