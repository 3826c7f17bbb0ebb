#include "request_table.h"

namespace sassafras::routing {

Request& RequestTable::Add(const RequestArrived& arrival, base::Instant now) {
  Request& request = requests_[arrival.request];
  request.arrival = arrival;
  request.arrived_at = now;
  SetTimer(request, arrival.deadline);
  return request;
}

Request* RequestTable::Find(RequestId request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::Erase(RequestId request) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) {
    return;
  }
  timers_.erase({it->second.timer_at, request});
  const auto by_key =
      by_key_.find({it->second.arrival.owner, it->second.arrival.key});
  if (by_key != by_key_.end() && by_key->second == request) {
    by_key_.erase(by_key);
  }
  requests_.erase(it);
}

void RequestTable::SetKeyHolder(const Request& request) {
  by_key_[{request.arrival.owner, request.arrival.key}] =
      request.arrival.request;
}

Request* RequestTable::FindByKey(const wire::OwnerId& owner,
                                 const wire::RequestKey& key) {
  const auto it = by_key_.find({owner, key});
  return it == by_key_.end() ? nullptr : Find(it->second);
}

void RequestTable::SetTimer(Request& request, base::Instant at) {
  timers_.erase({request.timer_at, request.arrival.request});
  request.timer_at = at;
  if (at != base::Instant::max()) {
    timers_.emplace(at, request.arrival.request);
  }
}

std::optional<RequestId> RequestTable::NextDue(base::Instant now) const {
  if (timers_.empty() || timers_.begin()->first > now) {
    return std::nullopt;
  }
  return timers_.begin()->second;
}

base::Instant RequestTable::NextTimer() const {
  return timers_.empty() ? base::Instant::max() : timers_.begin()->first;
}

}  // namespace sassafras::routing
