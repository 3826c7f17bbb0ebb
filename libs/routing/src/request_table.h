// The requests of a dispatcher, indexed by id, by key and by timer.

#ifndef ROUTING_SRC_REQUEST_TABLE_H_
#define ROUTING_SRC_REQUEST_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "request.h"
#include "routing/events.h"
#include "wire/ids.h"

namespace sassafras::routing {

class RequestTable {
 public:
  // References stay valid until the request is erased.
  Request& Add(const RequestArrived& arrival, base::Instant now);
  Request* Find(RequestId request);
  void Erase(RequestId request);

  // Makes FindByKey return this request for its owner and key.
  void SetKeyHolder(const Request& request);
  Request* FindByKey(const wire::OwnerId& owner, const wire::RequestKey& key);

  void SetTimer(Request& request, base::Instant at);
  // The request with the earliest timer that is due; nullopt if none is due.
  std::optional<RequestId> NextDue(base::Instant now) const;
  base::Instant NextTimer() const;

  bool empty() const { return requests_.empty(); }
  size_t size() const { return requests_.size(); }

 private:
  using OwnerKey = std::pair<wire::OwnerId, wire::RequestKey>;

  std::unordered_map<RequestId, Request> requests_;
  std::map<OwnerKey, RequestId> by_key_;
  std::set<std::pair<base::Instant, RequestId>> timers_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_REQUEST_TABLE_H_
