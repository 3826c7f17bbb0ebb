// The service of an entry host: keeps a copy of the manifest, tracks whether
// the control hosts are reachable, and forwards callers' requests to the
// leader.

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
#include "jobcontrol/manifest_proof.h"
#include "jobcontrol/messages.h"
#include "jobcontrol/worker_link.h"
#include "jobs/manifest_index.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// The outcome of a caller's request.
enum class CallOutcome {
  kOk,
  kNoQueue,      // no such queue; the request had no effect
  kInvalid,      // the request is malformed and had no effect
  kUnavailable,  // the request has and will have no effect; retry later
  kOverloaded,   // the same, as it can't be served now; see `retry_after`
  kUnknown,      // the request may have taken effect or may yet do so
  // The queue needs a key of a customer and none was given, or the one that was
  // given is unknown; the request had no effect.
  kUnauthenticated,
  // Another customer's job has the id; the request had and will have no effect.
  kConflict,
};
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnavailable;
  std::string message;   // the error, without any key; empty for kOk
  JobStatus job;         // set by GetState() and Cancel()
  uint64_t waiting = 0;  // set by CountWaiting(): number of waiting jobs
  base::Duration retry_after{};  // set for kOverloaded
};
using CallDone = std::function<void(const CallResult&)>;

// Where a request goes.
struct RouteResult {
  // kOk, kNoQueue, or kUnavailable where it isn't known whether there is one.
  CallOutcome outcome = CallOutcome::kUnavailable;
  const jobs::Queue* queue =
      nullptr;  // set for kOk; valid during the call only
};

// Whether a call may be made, and for whom.
struct Admission {
  // kOk, kUnauthenticated, or kUnavailable where that isn't known.
  CallOutcome outcome = CallOutcome::kUnavailable;
  Caller caller;  // set for kOk
};

// What all calls have in common.
struct CallScope {
  const jobs::Queue& queue;  // of the copy of the manifest
  Caller caller;             // of an admission for this queue
  base::Duration timeout{};
};

// Methods must be called on the control thread; callbacks run there too.
class EntryNode : public kernel::Service {
 public:
  // All arguments must outlive the service.
  EntryNode(const settings::Settings& settings,
            kernel::Kernel& kernel,
            cluster::Peers& peers,
            cluster::PeerService& peer_service,
            cluster::Client& client,
            WorkerLink& workers,
            telemetry::Metrics& metrics);
  ~EntryNode() override;

  // Finds the queue that serves a request, in the copy of the manifest. An
  // entry that is behind routes by what its copy contains, as the leader checks
  // each call against its own table. That there is no such queue is said only
  // by a copy that was proved to be the newest less than jobs.manifest_limit_ms
  // ago.
  RouteResult Route(std::string_view host, std::string_view path) const;
  // Whether the balancer should send new connections: a manifest is known, the
  // leader replied recently, some control host is reachable, and this entry
  // isn't draining.
  bool IsReady() const;

  // The copy of the manifest. References into it are valid until control
  // returns to the event loop.
  const jobs::ManifestIndex& manifest() const;
  // What proves that the copy is the newest manifest.
  const ManifestProofs& proofs() const;

  // Whether callers may need keys. If not, the keys that they give mean
  // nothing.
  bool ChecksKeys() const { return manifest().HasCustomers(); }
  // Decides about a call whose request was read as a whole. `key` is that of
  // the caller; nullopt if it gave none. An admission must be used before
  // control returns to the event loop.
  Admission Admit(const jobs::Queue& queue,
                  const std::optional<jobs::KeyDigest>& key);

  // The leader checks the caller's key again at each call. Another customer's
  // job isn't found, unless the queue is open.
  void Submit(const CallScope& scope,
              wire::JobId id,
              jobs::JobSpec spec,
              CallDone done);
  void GetState(const CallScope& scope, const wire::JobId& id, CallDone done);
  void Cancel(const CallScope& scope, const wire::JobId& id, CallDone done);
  void CountWaiting(const CallScope& scope, CallDone done);

  std::string_view name() const override { return "entry"; }
  bool Start(kernel::KernelReason& why) override;
  // Makes IsReady() return false; requests in flight continue.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_ENTRY_NODE_H_
