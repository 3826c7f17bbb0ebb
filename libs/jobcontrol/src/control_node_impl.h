// State and duties of a control host. Each duty has a source file of its own:
// control_node_host.cc      start, stop, periodic work, hello to the leader
// control_node_replica.cc   the replicated table, and what the leader needs
// control_node_calls.cc     calls of other processes

#ifndef JOBCONTROL_SRC_CONTROL_NODE_IMPL_H_
#define JOBCONTROL_SRC_CONTROL_NODE_IMPL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "cluster/replica_driver.h"
#include "confirmed_leadership.h"
#include "copy_support.h"
#include "group_keeper.h"
#include "heard_workers.h"
#include "jobcontrol/control_node.h"
#include "jobcontrol/leader.h"
#include "jobcontrol/membership.h"
#include "leader_key_check.h"
#include "manifest_source.h"
#include "packed_manifest.h"
#include "relay_host.h"
#include "relayed_link.h"

namespace sassafras::jobcontrol {

// Not thread-safe; used on the control thread.
class ControlNode::Impl : public std::enable_shared_from_this<Impl>,
                          public cluster::ReplicatedState,
                          public LeaderContext {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       cluster::Peers& peers,
       WorkerLink& workers,
       telemetry::Metrics& metrics,
       jobs::ManifestReader read_manifest);

  bool Open(kernel::KernelReason& why);
  void Begin();
  void Close();
  void AnnounceStop();

  cluster::ReplicaDriver& driver() { return *driver_; }
  const consensus::Replica& replica() const { return driver_->replica(); }
  boost::asio::io_context& control() { return kernel_.control(); }
  RelayHost& relay_host() { return *relay_host_; }
  ManifestSource& manifest_source() { return manifest_source_; }
  void SetClient(cluster::Client& client) { client_ = &client; }

  // Takes a message of the consensus protocol.
  void Receive(const std::string& body);
  void OnHeartbeat(const WorkerHeartbeat& heartbeat,
                   base::Duration timeout,
                   const cluster::ReplyDone& done);
  std::optional<settings::Endpoint> HeartbeatEndpoint(
      const wire::WorkerId& worker) const;
  // Handles a call of one of the leader's methods.
  void Handle(const std::string& method,
              const nlohmann::json& body,
              const cluster::ReplyDone& done);

  // cluster::ReplicatedState:
  bool Restore(const std::string& bytes, std::string& why) override;
  std::string Snapshot() override { return table_.Snapshot(); }
  void Apply(const consensus::Record& record) override;
  void OnBatchApplied() override;
  void OnRole(const consensus::RoleChange& change) override;
  void Send(const consensus::Message& message) override;

  // LeaderContext:
  const jobs::JobTable& table() const override { return table_; }
  const jobs::ReplicaHistory& history() const override { return history_; }
  bool MayStartCopies() const override {
    return copy_support_.IsComplete(replica().GetMembership(),
                                    replica().Self().id);
  }
  void Record(std::shared_ptr<const jobs::Batch> batch,
              RecordDone done) override;
  WorkerLink& workers() override { return *worker_link_; }
  std::vector<wire::EntryId> LiveAdvisers(base::Instant now) override;
  void QueryAdvice(const wire::EntryId& host,
                   const jobs::AdviceQuery& query,
                   base::Duration timeout,
                   AdviceDone done) override;
  void Barrier(std::function<void(bool passed)> done) override;
  void Defer(std::function<void()> then) override;
  std::optional<base::Instant> LeadershipConfirmedAt() const override;
  base::Instant Now() const override { return kernel::MonotonicNow(); }
  base::WallMs WallNow() const override { return kernel::WallNow(); }

 private:
  using Method = void (Impl::*)(const nlohmann::json&,
                                const cluster::ReplyDone&);

  static const std::map<std::string, Method, std::less<>>& Methods();
  void Submit(const nlohmann::json& body, const cluster::ReplyDone& done);
  void SubmitAs(const CallerRights& rights,
                jobs::AddJob job,
                const cluster::ReplyDone& done);
  // Replies that the job is refused once that is known to be true.
  void Refuse(const wire::JobId& job,
              const jobs::CustomerId& customer,
              const Refusal& refusal,
              const cluster::ReplyDone& done);
  void GetState(const nlohmann::json& body, const cluster::ReplyDone& done);
  void Cancel(const nlohmann::json& body, const cluster::ReplyDone& done);
  void CancelFound(const wire::JobId& id, const cluster::ReplyDone& done);
  void CountWaitingJobs(const nlohmann::json& body,
                        const cluster::ReplyDone& done);
  void PutManifest(const nlohmann::json& body, const cluster::ReplyDone& done);
  void GetManifest(const nlohmann::json& body, const cluster::ReplyDone& done);
  void OnForwardedHeartbeat(const nlohmann::json& body,
                            const cluster::ReplyDone& done);
  void OnHeard(const nlohmann::json& body, const cluster::ReplyDone& done);
  void OnLeave(const nlohmann::json& body, const cluster::ReplyDone& done);
  void OnHello(const nlohmann::json& body, const cluster::ReplyDone& done);
  void Join(const nlohmann::json& body, const cluster::ReplyDone& done);
  // Calls `then` with what the caller may do, or replies that it may do
  // nothing. See FindRights().
  void WithRights(const Caller& caller,
                  const jobs::QueueId& queue,
                  const cluster::ReplyDone& done,
                  std::function<void(const CallerRights&)> then);
  // Logs that a job is hidden from a caller, if that is why it wasn't found.
  void LogHidden(const JobQuery& query, const CallerRights& rights) const;
  // Calls `then` with the job, or replies that it doesn't exist. The negative
  // reply follows a barrier, which proves that this replica still leads. It is
  // the same, and takes the same time, for a job that the caller may not see.
  void WithFoundJob(const JobQuery& query,
                    const CallerRights& rights,
                    const cluster::ReplyDone& done,
                    std::function<void(const jobs::JobRecord&)> then);
  // The same for a queue of the manifest.
  void WithCurrentQueue(const jobs::QueueId& id,
                        const cluster::ReplyDone& done,
                        std::function<void(const jobs::Queue&)> then);
  std::vector<consensus::Member> Members() const;
  // Derives what an older program hasn't read from the text of the manifest
  // that it has recorded.
  void CompleteManifest();

  void NoteAdviser(const Hello& hello);
  // While nobody leads, hosts look for the leader at all control hosts. The one
  // that is elected next then knows them and can query the placement service at
  // once.
  void NoteSearchingAdviser(const std::string& method,
                            const nlohmann::json& body);
  // Creates the leader once this replica has applied all earlier commits.
  void BeginTermIfReady();
  // Runs periodic work, and keeps the group of control hosts.
  void Tick();
  void BeginTerm();
  // Tells the link to workers how large the fleet is and who can relay.
  void SetFleet();
  std::optional<settings::Endpoint> ControlEndpointOf(
      const wire::EntryId& host) const;
  // Reports this host to the leader. OnHelloReply() asks to join if the reply
  // shows that this host isn't a member.
  void SendHello();
  void OnHelloReply(const wire::ControlReply& reply);
  void ReportHeardWorkers();

  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  cluster::Peers& peers_;
  WorkerLink& direct_link_;
  const std::unique_ptr<RelayedLink> worker_link_;
  const std::shared_ptr<RelayHost> relay_host_;
  HeardWorkers heard_workers_;
  telemetry::Metrics& metrics_;
  const jobs::ManifestReader read_manifest_;
  const LeaderMetrics leader_metrics_;
  const GroupPolicy group_policy_;
  const wire::EntryId self_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer hello_timer_;
  boost::asio::steady_timer heard_timer_;
  cluster::Client* client_ = nullptr;
  std::shared_ptr<cluster::ReplicaDriver> driver_;  // set by Open()
  std::shared_ptr<GroupKeeper> group_;              // set by Open()
  jobs::JobTable table_;
  jobs::ReplicaHistory history_;
  CopySupport copy_support_;
  jobs::Changes changes_;  // not yet passed to the leader
  bool has_changes_ = false;
  // The batch that this leader proposed last and its encoded record. Apply()
  // uses the batch instead of decoding the record; both are cleared when any
  // record is applied.
  std::shared_ptr<const jobs::Batch> proposed_;
  std::string proposed_bytes_;
  bool is_leading_ = false;
  // Mutable, as each question for the confirmation looks for a suspension.
  mutable ConfirmedLeadership confirmed_leadership_{kernel::SuspendedTime()};
  std::shared_ptr<Leader> leader_;  // null unless this replica leads
  bool is_stopping_ = false;        // this process was told to stop
  // Times of the last hello, by sender.
  std::map<wire::EntryId, base::Instant> adviser_last_seen_;
  PackedManifest packed_manifest_;  // for entries of an earlier version
  ManifestSource manifest_source_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_CONTROL_NODE_IMPL_H_
