// Events, timers and the public interface of the dispatcher.

#include "routing/dispatcher.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

constexpr base::Duration kLatenessCheckInterval =
    std::chrono::milliseconds(100);
constexpr base::Duration kRetryAfterNoSession = std::chrono::seconds(1);

}  // namespace

Dispatcher::Impl::Impl(const DispatcherOptions& options)
    : options_(options),
      incarnation_(options.incarnation),
      upstreams_(options.zone,
                 {options.min_ejection_time, options.max_ejection_time,
                  options.failures_to_eject},
                 options.seed),
      random_(options.seed) {}

Effects Dispatcher::Impl::Step(base::Instant now, const Event& event) {
  now_ = now;
  std::visit([this](const auto& it) { On(it); }, event);
  ProcessQueues();
  return std::exchange(effects_, {});
}

// --- arrivals ---

void Dispatcher::Impl::On(const RequestArrived& event) {
  if (requests_.Find(event.request)) {
    return;
  }
  ++counters_.arrived;
  Request& request = requests_.Add(event, now_);
  if (!request.NeedsAdmission()) {
    RouteRequest(request);
    return;
  }
  if (request.arrival.key.empty()) {
    request.arrival.key = wire::RequestKey(incarnation_.str() + "." +
                                           std::to_string(++generated_keys_));
    request.arrival.is_first_sending = true;
  }
  OnKeyedArrival(request);
}

void Dispatcher::Impl::OnKeyedArrival(Request& request) {
  Request* other =
      requests_.FindByKey(request.arrival.owner, request.arrival.key);
  if (!other) {
    requests_.SetKeyHolder(request);
    RouteRequest(request);
  } else if (other->arrival.digest != request.arrival.digest) {
    ReplyKeyConflict(request);
  } else {
    LogDecision(request, "watch", "", 1,
                "a request with the same key is in progress at this entry");
    Watch(request, *other);
  }
}

void Dispatcher::Impl::Watch(Request& request, Request& watched) {
  request.stage = Stage::kWatching;
  request.watched = watched.arrival.request;
  watched.watchers.push_back(request.arrival.request);
}

void Dispatcher::Impl::StopWatching(const Request& request) {
  if (Request* watched = requests_.Find(request.watched)) {
    std::erase(watched->watchers, request.arrival.request);
  }
}

// Only a key that this incarnation has admitted or is admitting may be waited
// for here. Otherwise two entries could wait for each other.
void Dispatcher::Impl::On(const OutcomeQueried& event) {
  RequestArrived arrival;
  arrival.request = event.request;
  arrival.owner = event.owner;
  arrival.key = event.key;
  arrival.deadline = event.deadline;
  arrival.is_idempotent = false;
  Request* other = requests_.FindByKey(event.owner, event.key);
  Request& request = requests_.Add(arrival, now_);
  request.is_outcome_query = true;
  if (other && (other->is_admitted || other->stage == Stage::kAdmitting)) {
    request.arrival.service = other->arrival.service;
    Watch(request, *other);
    return;
  }
  Reply(request, {Outcome::kUnknown, 404, "not-known",
                  "no request with key \"" + event.key.str() +
                      "\" is in progress at this entry"});
  Finish(request);
}

void Dispatcher::Impl::On(const CallerDisconnected& event) {
  Request* request = requests_.Find(event.request);
  if (!request) {
    return;
  }
  if (request->stage == Stage::kWatching) {
    StopWatching(*request);
    Finish(*request);
    return;
  }
  request->is_answered = true;
  if (request->stage == Stage::kWaiting && !request->IsAwaited()) {
    RemoveFromQueue(*request);
    if (request->is_admitted) {
      CloseAdmission(*request, wire::AdmissionState::kNotRun,
                     {Outcome::kNotRun});
    } else {
      Finish(*request);
    }
    return;
  }
  UpdateTimer(*request);
}

// --- results of effects ---

void Dispatcher::Impl::On(const AdmitResolved& event) {
  Request* request = requests_.Find(event.request);
  if (!request) {
    return;
  }
  if (request->stage == Stage::kReadingAdmission) {
    OnAdmissionRead(*request, event);
  } else if (request->stage == Stage::kAdmitting) {
    OnAdmission(*request, event);
  }
}

void Dispatcher::Impl::On(const RelayResolved& event) {
  Request* request = requests_.Find(event.request);
  if (!request) {
    return;
  }
  if (request->stage == Stage::kForwarded) {
    if (event.outcome == RelayOutcome::kCompleted) {
      ReturnIdleSlot(*request);
    }
    OnForwardResolved(*request, event);
  } else if (request->stage == Stage::kQueryingEntry) {
    OnQueryResolved(*request, event);
  }
}

// --- cluster state ---

// Only the answer to the newest renewal is applied, because the leader assumes
// that the entry holds what its newest renewal reported and nothing older.
void Dispatcher::Impl::On(const RoutesUpdated& event) {
  const wire::EntryAnswer& answer = event.answer;
  if (answer.session_ms <= 0 || answer.renewal_sequence != renewal_sequence_ ||
      answer.stamp <= applied_) {
    return;
  }
  applied_ = answer.stamp;
  upstreams_.Apply(answer);
  upstreams_.SetSessionUntil(event.sent_at +
                             std::chrono::milliseconds(answer.session_ms));
  idle_entries_ = answer.idle_entries;
  for (auto& [name, service] : services_) {
    service.probe_pause = {};
    queues_to_process_.insert(name);
  }
}

void Dispatcher::Impl::On(const PolicyUpdated& event) {
  document_version_ = event.version;
  weights_.clear();
  for (const OwnerWeight& it : event.owners) {
    weights_[it.owner] = it.weight;
  }
  std::map<wire::ServiceId, ServicePolicy> policies;
  for (const ServicePolicy& it : event.services) {
    policies[it.service] = it;
    ServiceOf(it.service);
  }
  for (auto& [name, service] : services_) {
    service.policy = policies[name];
    service.budget.SetShare(service.policy.retry_share);
    service.queue.ResetWeights();
    for (const auto& [owner, weight] : weights_) {
      service.queue.SetWeight(owner, weight);
    }
  }
}

void Dispatcher::Impl::On(const IncarnationReplaced& event) {
  incarnation_ = event.incarnation;
  upstreams_.DropGrants();
  upstreams_.SetSessionUntil(base::Instant::min());
}

void Dispatcher::Impl::On(const Drain&) {
  is_draining_ = true;
}

Dispatcher::Impl::Service& Dispatcher::Impl::ServiceOf(
    const wire::ServiceId& service) {
  const auto [it, is_new] = services_.try_emplace(service);
  if (is_new) {
    it->second.policy.service = service;
    it->second.budget =
        RetryBudget(it->second.policy.retry_share, options_.max_retry_tokens);
    for (const auto& [owner, weight] : weights_) {
      it->second.queue.SetWeight(owner, weight);
    }
  }
  return it->second;
}

// --- timers ---

void Dispatcher::Impl::On(const Tick&) {
  upstreams_.ReleaseAbandoned(now_);
  RunDueTimers();
  if (!upstreams_.HasSession(now_)) {
    RefuseAllWaiting("no-session", "this entry has no valid session");
  }
  if (now_ >= next_lateness_check_) {
    RefuseLateWaiting();
    next_lateness_check_ = now_ + kLatenessCheckInterval;
  }
  for (const auto& [name, service] : services_) {
    if (!service.queue.empty()) {
      queues_to_process_.insert(name);
    }
  }
}

void Dispatcher::Impl::RunDueTimers() {
  while (const auto due = requests_.NextDue(now_)) {
    OnTimer(*requests_.Find(*due));
  }
}

void Dispatcher::Impl::OnTimer(Request& request) {
  const RequestId id = request.arrival.request;
  if (request.stage_retry_at <= now_) {
    RetryStage(request);
  }
  if (request.stage_timeout_at <= now_ && !request.is_answered) {
    OnStageTimeout(request);
  } else if (request.arrival.deadline <= now_ && !request.is_answered) {
    OnDeadline(request);
  }
  if (Request* remaining = requests_.Find(id)) {
    UpdateTimer(*remaining);
  }
}

// In every stage the request is answered now, except that a read of the
// admission log continues until its own timeout.
void Dispatcher::Impl::OnDeadline(Request& request) {
  const Answer late{
      Outcome::kUnknown, 504, "deadline",
      "the request's deadline passed before its outcome was known"};
  switch (request.stage) {
    case Stage::kWaiting:
      RemoveFromQueue(request);
      Refuse(request, 504, "deadline",
             "no slot became free before the request's deadline",
             kRetryAfterNoSession);
      return;
    case Stage::kAdmitting:
      request.may_be_admitted = true;
      ReplyNotAdmitted(
          request,
          "the admission was not committed before the request's deadline");
      ReleaseSlot(request);
      return;
    case Stage::kReadingAdmission:
      request.stage_timeout_at =
          std::min(request.stage_timeout_at, now_ + options_.commit_timeout);
      request.arrival.deadline = now_ + options_.commit_timeout;
      return;
    case Stage::kWatching:
      StopWatching(request);
      Reply(request, late);
      Finish(request);
      return;
    default:
      Reply(request, late);
  }
}

void Dispatcher::Impl::UpdateTimer(Request& request) {
  base::Instant at = request.stage_retry_at;
  if (!request.is_answered) {
    at = std::min({at, request.arrival.deadline, request.stage_timeout_at});
  }
  requests_.SetTimer(request, at);
}

base::Instant Dispatcher::Impl::NextDeadline() const {
  base::Instant next =
      std::min(requests_.NextTimer(), upstreams_.NextDeadline(now_));
  const bool is_waiting =
      std::ranges::any_of(services_ | std::views::values,
                          [](const Service& it) { return !it.queue.empty(); });
  if (is_waiting) {
    next = std::min({next, next_lateness_check_, upstreams_.session_until()});
  }
  return next;
}

// --- the public class ---

std::optional<Dispatcher> Dispatcher::Create(const DispatcherOptions& options,
                                             RoutingReason& why) {
  if (options.entry.empty() || options.incarnation.empty()) {
    why.Set(RoutingError::kInvalidOptions,
            "options entry and incarnation must not be empty");
    return std::nullopt;
  }
  if (options.min_ejection_time <= base::Duration::zero() ||
      options.max_ejection_time < options.min_ejection_time ||
      options.failures_to_eject == 0) {
    why.Set(RoutingError::kInvalidOptions,
            "min_ejection_time must be above 0, max_ejection_time at least "
            "min_ejection_time and failures_to_eject at least 1");
    return std::nullopt;
  }
  return Dispatcher(std::make_unique<Impl>(options));
}

Dispatcher::Dispatcher(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;
Dispatcher::~Dispatcher() = default;

Effects Dispatcher::Step(base::Instant now, const Event& event) {
  return impl_->Step(now, event);
}

base::Instant Dispatcher::NextDeadline() const {
  return impl_->NextDeadline();
}

wire::EntryRenewal Dispatcher::BuildRenewal(base::Instant now) {
  return impl_->BuildRenewal(now);
}

bool Dispatcher::IsIdle() const {
  return impl_->IsIdle();
}

base::Instant Dispatcher::SessionUntil() const {
  return impl_->SessionUntil();
}

DispatcherCounters Dispatcher::Counters() const {
  return impl_->Counters();
}

}  // namespace sassafras::routing
