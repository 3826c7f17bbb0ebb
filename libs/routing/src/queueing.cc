// Routes each request to the queue, to another entry or to a refusal, processes
// the queues and emits responses.

#include <algorithm>
#include <ranges>
#include <utility>

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

constexpr base::Duration kRetryAfterNoSlots = std::chrono::seconds(1);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(30);
// Maximum number of requests skipped while a queue is processed because none of
// the upstreams that they may use has a free slot.
constexpr size_t kMaxBlocked = 8;
// A request may wait for the time until its deadline, less its own run time,
// divided by this. The margin keeps requests in time if the queue turns out to
// be slower than estimated.
constexpr int kQueueTimeDivisor = 2;
// Minimum slot time that a request is charged, also before any was measured.
constexpr double kMinCostSeconds = 0.001;
constexpr double kMicrosPerSecond = 1e6;

base::Duration ClampRetryAfter(base::Duration retry_after) {
  return std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

// --- routing of arrivals ---

void Dispatcher::Impl::RouteRequest(Request& request) {
  const wire::ServiceId& service = request.arrival.service;
  if (requests_.size() > options_.max_requests) {
    Refuse(request, 503, "overloaded",
           "this entry has reached its limit of concurrent requests",
           kRetryAfterNoSlots);
    return;
  }
  if (!upstreams_.HasUsable(now_, service)) {
    RouteWithoutGrant(request);
    return;
  }
  Service& state = ServiceOf(service);
  const bool is_new = !request.is_admitted && request.forwarded_to.empty();
  if (is_new && !request.arrival.is_from_other_entry) {
    state.estimate.RecordArrival(now_, request.arrival.owner);
  }
  const bool has_free =
      state.queue.empty() && upstreams_.FreeSlots(now_, service) > 0;
  if (!has_free && request.arrival.is_from_other_entry &&
      !state.queue.empty()) {
    Refuse(request, 503, "no-room", "this entry has no free slot",
           kRetryAfterNoSlots);
    return;
  }
  if (!has_free && (TryForward(request) || RefuseIfLate(request))) {
    return;
  }
  Enqueue(request, request.is_admitted);
}

// Without granted slots the entry forwards the request. If that isn't possible
// and the service has upstreams, the request is queued for a limited time: the
// next renewal reports the demand, and the leader then grants at least one slot
// if there are enough.
void Dispatcher::Impl::RouteWithoutGrant(Request& request) {
  if (TryForward(request)) {
    return;
  }
  const RequestArrived& arrival = request.arrival;
  const Service& state = ServiceOf(arrival.service);
  const bool has_queue_space =
      state.queue.SizeOf(arrival.owner) < state.policy.max_queue;
  if (upstreams_.HasListed(now_, arrival.service) && has_queue_space) {
    request.stage_timeout_at = now_ + options_.grant_timeout;
    UpdateTimer(request);
    Enqueue(request, request.is_admitted);
    return;
  }
  RefuseWithoutGrant(request);
}

void Dispatcher::Impl::RefuseWithoutGrant(Request& request) {
  const bool has_session = upstreams_.HasSession(now_);
  Refuse(request, 503, has_session ? "no-upstream" : "no-session",
         has_session ? "service \"" + request.arrival.service.str() +
                           "\" has no upstream that this entry may use"
                     : "this entry has no valid session",
         kRetryAfterNoSlots);
}

// Refuses an arriving request if its owner has too many queued requests or if
// it can't be expected to finish before its deadline. Returns true if refused.
bool Dispatcher::Impl::RefuseIfLate(Request& request) {
  const RequestArrived& arrival = request.arrival;
  const Service& service = ServiceOf(arrival.service);
  const size_t size = service.queue.SizeOf(arrival.owner);
  const double share = service.queue.ShareOf(arrival.owner);
  const uint32_t slots = upstreams_.Capacity(now_, arrival.service);
  if (size >= service.policy.max_queue) {
    Refuse(request, 503, "queue-full",
           std::to_string(size) + " requests of owner \"" +
               arrival.owner.str() + "\" are already queued",
           service.estimate.WaitFor(arrival.owner, size, share, slots));
    return true;
  }
  const base::Duration wait = service.estimate.WaitFor(
      arrival.owner, service.queue.CountAhead(arrival.owner, arrival.priority),
      share, slots);
  const base::Duration left = arrival.deadline - now_;
  const base::Duration hold = service.estimate.LongHoldTime(arrival.owner);
  const base::Duration max_wait = (left - hold) / kQueueTimeDivisor;
  if (wait <= max_wait) {
    return false;
  }
  Refuse(request, 503, "too-late",
         "the estimated wait is too long for the request's deadline",
         slots == 0 ? kRetryAfterNoSlots : wait - max_wait);
  return true;
}

// --- queue ---

void Dispatcher::Impl::Enqueue(Request& request, bool is_front) {
  const RequestArrived& arrival = request.arrival;
  FairQueue& queue = ServiceOf(arrival.service).queue;
  request.stage = Stage::kWaiting;
  request.ticket =
      is_front
          ? queue.PushFront(arrival.owner, arrival.priority, arrival.request)
          : queue.Push(arrival.owner, arrival.priority, arrival.request);
  queues_to_process_.insert(arrival.service);
}

void Dispatcher::Impl::RemoveFromQueue(Request& request) {
  ServiceOf(request.arrival.service).queue.Remove(request.ticket);
}

void Dispatcher::Impl::ProcessQueues() {
  while (!queues_to_process_.empty()) {
    const wire::ServiceId service = *queues_to_process_.begin();
    queues_to_process_.erase(queues_to_process_.begin());
    ProcessQueue(service);
  }
}

void Dispatcher::Impl::ProcessQueue(const wire::ServiceId& name) {
  Service& service = ServiceOf(name);
  std::vector<RequestId> blocked;
  uint32_t candidates = 0;
  while (!service.queue.empty() && blocked.size() < kMaxBlocked &&
         upstreams_.FreeSlots(now_, name) > 0 &&
         DispatchNext(service, blocked)) {
  }
  while (!service.queue.empty() && blocked.size() < kMaxBlocked &&
         EntryWithMostIdle(name, candidates) && ForwardOne(service, blocked)) {
  }
  if (blocked.empty()) {
    Probe(service);
  }
  for (const RequestId id : blocked | std::views::reverse) {
    if (Request* request = requests_.Find(id)) {
      const RequestArrived& arrival = request->arrival;
      request->ticket = service.queue.PushFront(arrival.owner, arrival.priority,
                                                arrival.request);
    }
  }
}

bool Dispatcher::Impl::DispatchNext(Service& service,
                                    std::vector<RequestId>& blocked) {
  const auto cost_of = [&service](const wire::OwnerId& owner) {
    const auto hold = service.estimate.HoldTime(owner).count();
    return std::max(static_cast<double>(hold) / kMicrosPerSecond,
                    kMinCostSeconds);
  };
  const auto popped = service.queue.Pop(cost_of);
  Request* request = popped ? requests_.Find(popped->request) : nullptr;
  if (!request) {
    return popped.has_value();
  }
  request->cost = cost_of(popped->owner);
  const base::Duration hold = service.estimate.LongHoldTime(popped->owner);
  const bool was_queued = request->arrived_at < now_;
  if (was_queued && request->arrival.deadline - now_ < hold) {
    service.queue.Adjust(popped->owner, -request->cost);
    Refuse(*request, 503, "too-late",
           "no slot became free in time for the request's deadline", hold);
    return true;
  }
  const UpstreamTable::Choice choice =
      upstreams_.Choose(now_, request->arrival.service,
                        request->arrival.is_idempotent, request->last_upstream);
  if (!choice.upstream) {
    service.queue.Adjust(popped->owner, -request->cost);
    blocked.push_back(popped->request);
    return true;
  }
  StartTry(*request, *choice.upstream, choice.candidates);
  return true;
}

// --- refusal ---

// Refuses queued requests as soon as their position no longer lets them finish
// in time, rather than at their deadline.
void Dispatcher::Impl::RefuseLateWaiting() {
  for (auto& [name, service] : services_) {
    const uint32_t slots = upstreams_.Capacity(now_, name);
    std::vector<RequestId> late;
    size_t late_of_owner = 0;
    service.queue.ForEach([&](const wire::OwnerId& owner, size_t ahead,
                              RequestId id) {
      late_of_owner = ahead == 0 ? 0 : late_of_owner;
      const base::Duration wait = service.estimate.WaitFor(
          owner, ahead - late_of_owner, service.queue.ShareOf(owner), slots);
      const base::Duration hold = service.estimate.LongHoldTime(owner);
      const base::Duration left = requests_.Find(id)->arrival.deadline - now_;
      if (slots > 0 && wait > left - hold) {
        late.push_back(id);
        ++late_of_owner;
      }
    });
    for (const RequestId id : late) {
      Request& request = *requests_.Find(id);
      RemoveFromQueue(request);
      Refuse(
          request, 503, "too-late",
          "the estimated wait has become too long for the request's deadline",
          service.estimate.HoldTime(request.arrival.owner));
    }
  }
}

void Dispatcher::Impl::RefuseAllWaiting(const std::string& code,
                                        const std::string& message) {
  for (auto& [name, service] : services_) {
    std::vector<RequestId> waiting;
    service.queue.ForEach([&](const wire::OwnerId&, size_t, RequestId id) {
      waiting.push_back(id);
    });
    for (const RequestId id : waiting) {
      Request& request = *requests_.Find(id);
      RemoveFromQueue(request);
      if (!TryForward(request)) {
        Refuse(request, 503, code, message, kRetryAfterNoSlots);
      }
    }
  }
}

// Returns `not-run` at once if it is certain. Otherwise it is returned after
// the admission was closed or the admission log was read.
void Dispatcher::Impl::Refuse(Request& request,
                              uint32_t status,
                              const std::string& code,
                              const std::string& message,
                              base::Duration retry_after) {
  const Answer answer{Outcome::kNotRun, status, code, message,
                      ClampRetryAfter(retry_after)};
  LogDecision(request, "refuse", "", 0, code);
  if (request.is_admitted) {
    CloseAdmission(request, wire::AdmissionState::kNotRun, answer);
    return;
  }
  if (request.may_have_run) {
    Answer unknown = answer;
    unknown.outcome = Outcome::kUnknown;
    Reply(request, unknown);
    Finish(request);
    return;
  }
  if (!request.IsNotRunCertain()) {
    request.pending_answer = answer;
    ReadAdmissionLog(request);
    return;
  }
  Reply(request, answer);
  Finish(request);
}

// --- answers ---

void Dispatcher::Impl::EmitResponse(const Request& request,
                                    const Answer& answer) {
  const std::array counts = {&counters_.completed, &counters_.not_run,
                             &counters_.unknown};
  ++*counts.at(static_cast<size_t>(answer.outcome));
  effects_.emplace_back(
      Respond{request.arrival.request, answer.outcome, answer.status,
              answer.code, answer.message, answer.retry_after, answer.source,
              answer.answered_by, RequestId(), request.arrival.key});
}

// Answers the caller and all requests that watch this one.
void Dispatcher::Impl::Reply(Request& request, const Answer& answer) {
  const bool is_answered_now = !request.is_answered;
  if (is_answered_now) {
    request.is_answered = true;
    EmitResponse(request, answer);
  }
  for (const RequestId id : std::exchange(request.watchers, {})) {
    Request* watcher = requests_.Find(id);
    if (!watcher) {
      continue;
    }
    EmitResponse(*watcher, answer);
    auto& respond = std::get<Respond>(effects_.back());
    if (answer.source != AnswerSource::kNone) {
      // The answer of the watched request can be shared only if it is sent now,
      // not if its caller disconnected or was answered earlier.
      respond.source = is_answered_now ? AnswerSource::kShared : answer.source;
      respond.shared_with = request.arrival.request;
    }
    Finish(*watcher);
  }
}

void Dispatcher::Impl::Finish(Request& request) {
  const RequestId id = request.arrival.request;
  effects_.emplace_back(Forget{id});
  requests_.Erase(id);
}

void Dispatcher::Impl::LogDecision(const Request& request,
                                   std::string what,
                                   std::string choice,
                                   uint32_t candidates,
                                   std::string why) {
  const RequestArrived& arrival = request.arrival;
  effects_.emplace_back(DecisionLog{
      std::move(what), arrival.request, arrival.owner, arrival.service,
      std::move(choice), candidates, std::move(why), now_ - request.arrived_at,
      document_version_});
}

}  // namespace sassafras::routing
