// An entry host's knowledge of the cluster: the manifest in force, whether the
// leader was heard, and the calls of callers that it passes on.

#ifndef JOBCONTROL_ENTRY_NODE_H_
#define JOBCONTROL_ENTRY_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "cluster/client.h"
#include "cluster/peers.h"
#include "jobcontrol/messages.h"
#include "jobcontrol/worker_link.h"
#include "jobs/manifest.h"
#include "kernel/kernel.h"
#include "settings/settings.h"

namespace sassafras::jobcontrol {

// How a call of a caller ended.
enum class CallOutcome {
  kOk,
  kNoQueue,      // no such queue; nothing was done
  kInvalid,      // the request is wrong in itself; nothing was done
  kUnavailable,  // nothing was done and nothing will be; try again later
  kUnknown,      // it may have been done, or may yet be
};
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnavailable;
  std::string message;   // of other outcomes than kOk
  JobStatus job;         // of state and cancel
  uint64_t waiting = 0;  // of count
};
using CallDone = std::function<void(const CallResult&)>;

// Calls are made, and answered, on the control thread.
class EntryNode : public kernel::Service {
 public:
  // All arguments must outlive the service.
  EntryNode(const settings::Settings& settings,
            kernel::Kernel& kernel,
            cluster::Peers& peers,
            cluster::PeerService& peer_service,
            cluster::Client& client,
            WorkerLink& workers);
  ~EntryNode() override;

  // The queue of a request; nothing where the manifest has none. An entry
  // that isn't ready doesn't know.
  const jobs::Queue* Route(std::string_view host, std::string_view path) const;
  // Whether the manifest is known and surely not long out of date.
  bool HasCurrentManifest() const;
  // Whether new callers should come: current, and not about to stop.
  bool IsReady() const;

  void Submit(const jobs::Queue& queue,
              wire::JobId id,
              jobs::JobSpec spec,
              base::Duration timeout,
              CallDone done);
  void State(const jobs::Queue& queue,
             const wire::JobId& id,
             base::Duration timeout,
             CallDone done);
  void Cancel(const jobs::Queue& queue,
              const wire::JobId& id,
              base::Duration timeout,
              CallDone done);
  void Count(const jobs::Queue& queue, base::Duration timeout, CallDone done);

  std::string_view name() const override { return "entry"; }
  bool Start(kernel::KernelReason& why) override;
  // From now on it isn't ready; what is on its way goes on.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_ENTRY_NODE_H_
