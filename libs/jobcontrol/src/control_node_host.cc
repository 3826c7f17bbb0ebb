// Starts and stops a control host, runs its periodic work and reports it to the
// leader.

#include <algorithm>
#include <chrono>

#include "control_node_impl.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(50);
constexpr auto kHelloPeriod = std::chrono::milliseconds(500);
constexpr auto kHelloTimeout = std::chrono::milliseconds(1500);
// A relay answers each request within a quarter of a second.
constexpr auto kRelayTimeout = std::chrono::milliseconds(700);
// How often the leader hears of heartbeats that other control hosts answered.
constexpr auto kHeardPeriod = std::chrono::milliseconds(200);
// The setting jobs.max_lease_ms may shorten it. A new leader waits for the
// leases of earlier ones, which may run another version of the program, so no
// version may have a longer lease.
constexpr base::Duration kWorkerLease = std::chrono::milliseconds(4000);

using telemetry::Decision;

}  // namespace

ControlNode::Impl::Impl(const settings::Settings& settings,
                        kernel::Kernel& kernel,
                        cluster::Peers& peers,
                        WorkerLink& workers,
                        telemetry::Metrics& metrics,
                        jobs::ManifestReader read_manifest)
    : settings_(settings),
      kernel_(kernel),
      peers_(peers),
      direct_link_(workers),
      worker_link_(RelayedLink::Create(
          kernel.control(),
          workers,
          [&peers](const wire::EntryId& host,
                   std::string body,
                   RelayedLink::RelayDone done) {
            peers.Call(host, kRelayMethod, std::move(body), kRelayTimeout,
                       [done = std::move(done)](auto reply, const auto&) {
                         done(std::move(reply));
                       });
          })),
      relay_host_(
          RelayHost::Create(kernel.control(),
                            workers,
                            [this] { return replica().GetTerm().value(); })),
      metrics_(metrics),
      read_manifest_(std::move(read_manifest)),
      leader_metrics_(metrics),
      group_policy_{.tolerated_losses = settings.cluster.tolerated_losses,
                    .max_silence = settings.timing.election_timeout},
      self_(settings.peer.ToString()),
      timer_(kernel.control()),
      hello_timer_(kernel.control()),
      heard_timer_(kernel.control()),
      manifest_source_(metrics) {}

bool ControlNode::Impl::Open(kernel::KernelReason& why) {
  cluster::DriverOptions options;
  options.name = self_;
  options.data_folder = settings_.process.data_folder;
  options.election_timeout = settings_.timing.election_timeout;
  options.heartbeat = settings_.timing.heartbeat;
  options.max_voters = group_policy_.Voters();
  cluster::DriverReason driver_why;
  driver_ = cluster::ReplicaDriver::Create(
      kernel_.control(), options, *this,
      metrics_.GetHistogram("sassafras_journal_write_seconds",
                            "Write and sync of one batch of the journal."),
      driver_why);
  if (!driver_) {
    return why.Set(kernel::KernelError::kServiceFailed, driver_why.message);
  }
  group_ = GroupKeeper::Create(driver_, group_policy_);
  return true;
}

void ControlNode::Impl::Begin() {
  driver_->Begin();
  const bool has_state =
      !replica().GetMembership().IsEmpty() || replica().GetTerm().value() > 0;
  if (ShouldBootstrap(settings_.peer, settings_.cluster, has_state)) {
    Decision("bootstrap-cluster").With("replica", replica().Self().id).Write();
    driver_->Bootstrap([](const auto&) {});
  }
  Tick();
  SendHello();
  ReportHeardWorkers();
}

void ControlNode::Impl::Close() {
  leader_.reset();
  is_leading_ = false;  // no deferred function begins a term any more
  timer_.cancel();
  hello_timer_.cancel();
  heard_timer_.cancel();
  worker_link_->EndTerm();
  relay_host_->Close();
  driver_->Close();
}

void ControlNode::Impl::AnnounceStop() {
  is_stopping_ = true;
  SendHello();
}

void ControlNode::Impl::BeginTermIfReady() {
  if (is_leading_ && !leader_ && driver_->IsReadyToLead()) {
    BeginTerm();
    leader_->Tick();
  }
}

void ControlNode::Impl::Tick() {
  BeginTermIfReady();
  if (is_leading_) {
    SetFleet();
  }
  if (leader_) {
    leader_->Tick();
  }
  group_->Tick(Now());
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->Tick();
    }
  });
}

void ControlNode::Impl::BeginTerm() {
  LeaderOptions options;
  options.term = replica().GetTerm().value();
  options.session.lease = std::min(kWorkerLease, settings_.jobs.max_lease);
  options.session.inherited_lease = options.session.lease;
  options.session.max_lease = settings_.jobs.max_lease;
  options.session.stop_time = settings_.jobs.max_stop;
  options.table.max_bytes = TableLimits::MaxBytesOf(settings_.limits.memory_mb);
  options.table.keep_ended = settings_.jobs.keep_ended;
  leader_ = Leader::Create(*this, options, leader_metrics_);
}

void ControlNode::Impl::SetFleet() {
  std::vector<wire::EntryId> others;
  for (const consensus::Member& member : replica().GetMembership().voters) {
    if (member.id != replica().Self().id) {
      others.push_back(member.name);
    }
  }
  worker_link_->SetFleet(others, table_.workers().size());
}

std::optional<settings::Endpoint> ControlNode::Impl::ControlEndpointOf(
    const wire::EntryId& host) const {
  const auto endpoint = settings::Endpoint::FromText(host.str());
  if (!endpoint) {
    return std::nullopt;
  }
  return settings::Endpoint{endpoint->address, settings_.jobs.control.port};
}

// In a large fleet the leader passes its share of the heartbeats on, and each
// other control host keeps those that it gets.
std::optional<settings::Endpoint> ControlNode::Impl::HeartbeatEndpoint(
    const wire::WorkerId& worker) const {
  if (!worker_link_->IsLarge(table_.workers().size())) {
    return ControlEndpointOf(replica().Leader().name);
  }
  return ControlEndpointOf(
      leader_ ? worker_link_->RelayFor(worker).value_or(self_) : self_);
}

void ControlNode::Impl::SendHello() {
  Hello hello;
  hello.name = self_;
  hello.is_adviser = true;
  hello.replica = replica().Self().id;
  hello.is_stopping = is_stopping_;
  hello.applies_copies = true;
  client_->Call(std::string(kHelloMethod), hello, kHelloTimeout,
                cluster::Resend::kYes,
                [self = shared_from_this()](const wire::ControlReply& reply) {
                  self->OnHelloReply(reply);
                });
  hello_timer_.expires_after(kHelloPeriod);
  hello_timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->SendHello();
    }
  });
}

void ControlNode::Impl::OnHelloReply(const wire::ControlReply& reply) {
  wire::CodecReason why;
  const auto answer = reply.status == wire::ReplyStatus::kOk
                          ? wire::FromValue<HelloReply>(reply.body, why)
                          : std::nullopt;
  if (!answer) {
    return;
  }
  std::vector<wire::EntryId> names;
  std::ranges::transform(answer->members, std::back_inserter(names),
                         &consensus::Member::name);
  peers_.SetNames(names);
  const auto id = replica().Self().id;
  const bool is_member =
      std::ranges::find(answer->members, id, &consensus::Member::id) !=
      answer->members.end();
  if (!is_member && !is_stopping_) {
    client_->Call(std::string(kJoinMethod), replica().Self(), kHelloTimeout,
                  cluster::Resend::kYes, [](const auto&) {});
  }
}

void ControlNode::Impl::ReportHeardWorkers() {
  const auto report = heard_workers_.TakeReport();
  if (!report.empty()) {
    client_->Call(std::string(kHeardMethod), report, kHeardPeriod,
                  cluster::Resend::kYes, [](const auto&) {});
  }
  heard_timer_.expires_after(kHeardPeriod);
  heard_timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->ReportHeardWorkers();
    }
  });
}

}  // namespace sassafras::jobcontrol
