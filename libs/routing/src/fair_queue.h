// Queue of the waiting requests of one service at one entry: start-time fair
// queueing between owners by weight, priority classes within an owner's share,
// and FIFO order within a class.

#ifndef ROUTING_SRC_FAIR_QUEUE_H_
#define ROUTING_SRC_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "routing/events.h"
#include "wire/ids.h"
#include "wire/job.h"

namespace sassafras::routing {

class FairQueue {
 public:
  // Position of a queued request, as needed by Remove.
  struct Ticket {
    wire::OwnerId owner;
    wire::Priority priority = wire::Priority::kNormal;
    int64_t position = 0;
  };
  struct Popped {
    wire::OwnerId owner;
    RequestId request;
  };

  // Resets the weight of every owner to 1.
  void ResetWeights();
  // A weight of 0 is raised to 1.
  void SetWeight(const wire::OwnerId& owner, uint32_t weight);

  Ticket Push(const wire::OwnerId& owner,
              wire::Priority priority,
              RequestId request);
  // Returns a popped request that couldn't be dispatched to the front.
  Ticket PushFront(const wire::OwnerId& owner,
                   wire::Priority priority,
                   RequestId request);
  void Remove(const Ticket& ticket);

  // Removes the first request of the owner with the lowest virtual time.
  // `cost_of` estimates the slot time in seconds of a request of the owner.
  // Returns nullopt if the queue is empty.
  std::optional<Popped> Pop(
      const std::function<double(const wire::OwnerId&)>& cost_of);

  // Corrects an owner's virtual time by the difference between the slot time
  // used and the estimate that Pop charged, in seconds.
  void Adjust(const wire::OwnerId& owner, double cost_difference);

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  size_t SizeOf(const wire::OwnerId& owner) const;
  // Number of the owner's requests that precede a new one of this priority.
  size_t CountAhead(const wire::OwnerId& owner, wire::Priority priority) const;
  // The owner's fraction of the service's slots, by weight among it and the
  // owners that have queued requests now, in (0, 1].
  double ShareOf(const wire::OwnerId& owner) const;

  // Visits all requests, owner by owner, each owner's in dispatch order.
  void ForEach(
      const std::function<void(const wire::OwnerId&, size_t ahead, RequestId)>&
          visit) const;

 private:
  static constexpr size_t kPriorityClasses = 3;
  using PriorityClass = std::map<int64_t, RequestId>;

  struct Account {
    std::array<PriorityClass, kPriorityClasses> classes;
    size_t size = 0;
    uint32_t weight = 1;
    double virtual_time = 0;  // charged slot time in seconds, divided by weight
  };

  Account& Activate(const wire::OwnerId& owner);
  const Account* Find(const wire::OwnerId& owner) const;

  std::unordered_map<wire::OwnerId, Account> accounts_;
  std::map<wire::OwnerId, Account*> active_;  // owners with queued requests
  double virtual_time_ = 0;  // highest start time that Pop has served
  size_t size_ = 0;
  int64_t next_back_ = 0;
  int64_t next_front_ = -1;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_FAIR_QUEUE_H_
