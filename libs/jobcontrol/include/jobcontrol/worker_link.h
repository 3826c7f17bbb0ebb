// The interface for calls to workers and to the placement service. An adapter
// that knows their message formats implements it.

#ifndef JOBCONTROL_WORKER_LINK_H_
#define JOBCONTROL_WORKER_LINK_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "jobs/advice.h"
#include "jobs/worker_session.h"

namespace sassafras::jobcontrol {

using OrderDone = std::function<void(const jobs::OrderReply&)>;
using HoldDone = std::function<void(const jobs::HoldReply&)>;
// Receives nullopt if the service refused the query or didn't answer.
using AdviceDone =
    std::function<void(const std::optional<std::vector<jobs::Permit>>&)>;

// Must be used on the control thread. Each callback runs there exactly once,
// and never before the call returns.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;

  // Sends an order. Workers reject calls with a lower fencing token than the
  // highest that they have seen.
  virtual void Order(const jobs::WorkerInfo& worker,
                     const jobs::OrderCall& call,
                     uint64_t fencing_token,
                     OrderDone done) = 0;
  // Sends a long poll that renews the worker's lease and reports its runs.
  virtual void Hold(const jobs::WorkerInfo& worker,
                    const jobs::HoldCall& call,
                    uint64_t fencing_token,
                    HoldDone done) = 0;
  // Queries the placement service from this host.
  virtual void QueryAdvice(const jobs::AdviceQuery& query,
                           base::Duration timeout,
                           AdviceDone done) = 0;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_WORKER_LINK_H_
