// The calls that leave the system: orders to workers and questions to the
// placement service. Implemented by an adapter that knows the formats.

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
// Nothing where the service refused or didn't answer.
using AdviceDone =
    std::function<void(const std::optional<std::vector<jobs::Permit>>&)>;

// Used on the control thread; callbacks run there, exactly once, never from
// within the call.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;

  // `fencing_token`: of the leader; workers do nothing for a lower one than
  // the highest that they have seen.
  virtual void Order(const jobs::WorkerInfo& worker,
                     const jobs::OrderCall& call,
                     uint64_t fencing_token,
                     OrderDone done) = 0;
  virtual void Hold(const jobs::WorkerInfo& worker,
                    const jobs::HoldCall& call,
                    uint64_t fencing_token,
                    HoldDone done) = 0;
  // Asks the placement service from this host.
  virtual void Ask(const jobs::AdviceQuery& question,
                   base::Duration limit,
                   AdviceDone done) = 0;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_WORKER_LINK_H_
