// Forwards of requests to other entries, either because an entry reported idle
// slots or as a probe for idle slots.

#include <algorithm>
#include <string>

#include "dispatcher_impl.h"

namespace sassafras::routing {
namespace {

// Bounds of the pause between requests that are forwarded to entries without
// reported idle slots. The pause doubles with each refusal.
constexpr base::Duration kMinProbePause = std::chrono::milliseconds(1);
constexpr base::Duration kMaxProbePause = std::chrono::milliseconds(64);

}  // namespace

// Returns the entry with the most idle slots for the service and adds the
// number of entries with any to `candidates`. Returns null if there is none.
wire::IdleEntry* Dispatcher::Impl::EntryWithMostIdle(
    const wire::ServiceId& service,
    uint32_t& candidates) {
  wire::IdleEntry* best = nullptr;
  for (wire::IdleEntry& it : idle_entries_) {
    if (it.service != service || it.idle == 0) {
      continue;
    }
    ++candidates;
    const bool is_nearer = best && it.idle == best->idle &&
                           it.zone == options_.zone &&
                           best->zone != options_.zone;
    if (!best || it.idle > best->idle || is_nearer) {
      best = &it;
    }
  }
  return best;
}

// Counts the slot that a forwarded request had at another entry as idle again.
void Dispatcher::Impl::ReturnIdleSlot(const Request& request) {
  const auto it = std::ranges::find_if(
      idle_entries_, [&request](const wire::IdleEntry& idle) {
        return idle.entry == request.forwarded_to &&
               idle.service == request.arrival.service;
      });
  if (it != idle_entries_.end()) {
    ++it->idle;
    ServiceOf(it->service).probe_pause = {};
    queues_to_process_.insert(it->service);
  }
}

// Forwards the request if another entry has idle slots. A request is forwarded
// at most once, and never after this entry has admitted its key.
bool Dispatcher::Impl::TryForward(Request& request) {
  if (request.arrival.is_from_other_entry || request.has_forwarded ||
      request.is_admitted) {
    return false;
  }
  uint32_t candidates = 0;
  wire::IdleEntry* best =
      EntryWithMostIdle(request.arrival.service, candidates);
  if (!best) {
    return false;
  }
  --best->idle;
  Forward(request, *best, candidates, "entry with the most idle slots");
  return true;
}

void Dispatcher::Impl::Forward(Request& request,
                               const wire::IdleEntry& to,
                               uint32_t candidates,
                               const std::string& why) {
  Service& service = ServiceOf(request.arrival.service);
  service.next_probe = now_ + std::max(service.probe_pause, kMinProbePause);
  request.has_forwarded = true;
  request.forwarded_to = to.entry;
  request.stage = Stage::kForwarded;
  ++counters_.forwarded;
  effects_.emplace_back(
      ForwardTo{request.arrival.request, to.entry, request.arrival.key,
                request.arrival.is_first_sending, request.arrival.deadline});
  LogDecision(request, "forward", to.entry.str(), candidates, why);
}

// Called if the other entry has no free slot or couldn't be reached. The
// request returns to the front of the queue or is routed like a new arrival.
void Dispatcher::Impl::OnForwardRefused(Request& request) {
  const wire::ServiceId& name = request.arrival.service;
  for (wire::IdleEntry& it : idle_entries_) {
    if (it.entry == request.forwarded_to && it.service == name) {
      it.idle = 0;
    }
  }
  Service& service = ServiceOf(name);
  service.probe_pause =
      std::clamp(2 * service.probe_pause, kMinProbePause, kMaxProbePause);
  service.next_probe = now_ + service.probe_pause;
  request.has_forwarded = !request.IsNotRunCertain();
  if (request.was_queued && request.IsNotRunCertain()) {
    Enqueue(request, true);
  } else {
    RouteRequest(request);
  }
}

// Returns a random other entry with slots of the service; null if there is
// none.
wire::IdleEntry* Dispatcher::Impl::RandomOtherEntry(
    const wire::ServiceId& service) {
  wire::IdleEntry* found = nullptr;
  uint64_t candidates = 0;
  for (wire::IdleEntry& it : idle_entries_) {
    if (it.service == service && random_.Below(++candidates) == 0) {
      found = &it;
    }
  }
  return found;
}

bool Dispatcher::Impl::MayProbe(const Request& request) const {
  return request.IsNotRunCertain() && !request.is_admitted &&
         !request.has_forwarded && !request.arrival.is_from_other_entry;
}

// Slots at other entries become free between renewals without this entry being
// informed. To find them, the next request in the queue is forwarded from time
// to time to another entry, which refuses it at once if it has no free slot.
void Dispatcher::Impl::Probe(Service& service) {
  const wire::ServiceId& name = service.policy.service;
  if (service.queue.empty() || now_ < service.next_probe ||
      upstreams_.FreeSlots(now_, name) > 0) {
    return;
  }
  wire::IdleEntry* other = RandomOtherEntry(name);
  const auto popped =
      other ? service.queue.Pop([](const wire::OwnerId&) { return 0.0; })
            : std::nullopt;
  Request* request = popped ? requests_.Find(popped->request) : nullptr;
  if (!request) {
    return;
  }
  if (!MayProbe(*request)) {
    const RequestArrived& arrival = request->arrival;
    request->ticket = service.queue.PushFront(arrival.owner, arrival.priority,
                                              arrival.request);
    return;
  }
  request->was_queued = true;
  Forward(*request, *other, 1, "probe for an idle slot at a random entry");
}

// Forwards the next request in the queue to an entry with idle slots. Returns
// false if the queue is empty.
bool Dispatcher::Impl::ForwardOne(Service& service,
                                  std::vector<RequestId>& blocked) {
  const auto popped =
      service.queue.Pop([](const wire::OwnerId&) { return 0.0; });
  Request* request = popped ? requests_.Find(popped->request) : nullptr;
  if (request) {
    request->was_queued = true;
    if (!TryForward(*request)) {
      blocked.push_back(popped->request);
    }
  }
  return popped.has_value();
}

}  // namespace sassafras::routing
