// Start-time fair queueing with priority classes.

#include "fair_queue.h"

#include <algorithm>
#include <ranges>

namespace sassafras::routing {

void FairQueue::ResetWeights() {
  for (Account& account : accounts_ | std::views::values) {
    account.weight = 1;
  }
}

void FairQueue::SetWeight(const wire::OwnerId& owner, uint32_t weight) {
  accounts_[owner].weight = std::max(weight, 1U);
}

// An owner without queued requests starts at the current virtual time, so that
// it earns no credit for idle time.
FairQueue::Account& FairQueue::Activate(const wire::OwnerId& owner) {
  Account& account = accounts_[owner];
  if (account.size == 0) {
    account.virtual_time = std::max(account.virtual_time, virtual_time_);
    active_[owner] = &account;
  }
  return account;
}

const FairQueue::Account* FairQueue::Find(const wire::OwnerId& owner) const {
  const auto it = accounts_.find(owner);
  return it == accounts_.end() ? nullptr : &it->second;
}

FairQueue::Ticket FairQueue::Push(const wire::OwnerId& owner,
                                  wire::Priority priority,
                                  RequestId request) {
  Account& account = Activate(owner);
  const int64_t position = next_back_++;
  account.classes[static_cast<size_t>(priority)].emplace(position, request);
  ++account.size;
  ++size_;
  return {owner, priority, position};
}

FairQueue::Ticket FairQueue::PushFront(const wire::OwnerId& owner,
                                       wire::Priority priority,
                                       RequestId request) {
  Account& account = Activate(owner);
  const int64_t position = next_front_--;
  account.classes[static_cast<size_t>(priority)].emplace(position, request);
  ++account.size;
  ++size_;
  return {owner, priority, position};
}

void FairQueue::Remove(const Ticket& ticket) {
  const auto it = accounts_.find(ticket.owner);
  if (it == accounts_.end()) {
    return;
  }
  Account& account = it->second;
  PriorityClass& waiting =
      account.classes[static_cast<size_t>(ticket.priority)];
  if (waiting.erase(ticket.position) == 0) {
    return;
  }
  --size_;
  if (--account.size == 0) {
    active_.erase(ticket.owner);
  }
}

std::optional<FairQueue::Popped> FairQueue::Pop(
    const std::function<double(const wire::OwnerId&)>& cost_of) {
  const auto it = std::ranges::min_element(active_, {}, [](const auto& entry) {
    return entry.second->virtual_time;
  });
  if (it == active_.end()) {
    return std::nullopt;
  }
  const wire::OwnerId owner = it->first;
  Account& account = *it->second;
  PriorityClass& first = *std::ranges::find_if(
      account.classes,
      [](const PriorityClass& waiting) { return !waiting.empty(); });
  const RequestId request = first.begin()->second;
  first.erase(first.begin());
  virtual_time_ = std::max(virtual_time_, account.virtual_time);
  account.virtual_time += cost_of(owner) / account.weight;
  --size_;
  if (--account.size == 0) {
    active_.erase(owner);
  }
  return Popped{owner, request};
}

void FairQueue::Adjust(const wire::OwnerId& owner, double cost_difference) {
  const auto it = accounts_.find(owner);
  if (it != accounts_.end()) {
    it->second.virtual_time += cost_difference / it->second.weight;
  }
}

size_t FairQueue::SizeOf(const wire::OwnerId& owner) const {
  const Account* account = Find(owner);
  return account ? account->size : 0;
}

size_t FairQueue::CountAhead(const wire::OwnerId& owner,
                             wire::Priority priority) const {
  const Account* account = Find(owner);
  size_t count = 0;
  for (size_t n = 0; account && n <= static_cast<size_t>(priority); ++n) {
    count += account->classes[n].size();
  }
  return count;
}

double FairQueue::ShareOf(const wire::OwnerId& owner) const {
  const Account* own = Find(owner);
  const double weight = own ? own->weight : 1;
  double sum = weight;
  for (const auto& [other, account] : active_) {
    sum += other == owner ? 0 : account->weight;
  }
  return weight / sum;
}

void FairQueue::ForEach(
    const std::function<void(const wire::OwnerId&, size_t, RequestId)>& visit)
    const {
  for (const auto& [owner, account] : active_) {
    size_t ahead = 0;
    for (const PriorityClass& waiting : account->classes) {
      for (const RequestId request : waiting | std::views::values) {
        visit(owner, ahead++, request);
      }
    }
  }
}

}  // namespace sassafras::routing
