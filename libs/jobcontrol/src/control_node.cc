// Connects the job table with the replication driver and the leader, and
// handles the calls of other processes.

#include "jobcontrol/control_node.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cluster/replica_driver.h"
#include "jobcontrol/advice_host.h"
#include "jobcontrol/leader.h"
#include "jobcontrol/membership.h"
#include "jobcontrol/messages.h"
#include "telemetry/decision.h"
#include "telemetry/log.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(50);
constexpr auto kHelloPeriod = std::chrono::milliseconds(500);
constexpr auto kHelloTimeout = std::chrono::milliseconds(1500);
constexpr auto kConsensusCallTimeout = std::chrono::seconds(1);
// Hosts that sent no hello for this long get no placement queries.
constexpr auto kAdviserTimeout = std::chrono::milliseconds(1500);
// A voter that sent no hello for this long may be removed. Also the minimum
// time between a role change or a removal and the next removal.
constexpr auto kVoterLossTimeout = std::chrono::seconds(10);
// The setting jobs.max_lease_ms may shorten it.
constexpr base::Duration kWorkerLease = std::chrono::milliseconds(4000);

using telemetry::Decision;
using telemetry::Log;
using telemetry::LogLevel;

wire::ControlReply MakeReply(wire::ReplyStatus status,
                             nlohmann::json body = nlohmann::json::object()) {
  wire::ControlReply reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

wire::ControlReply MakeRefusal(std::string message) {
  wire::ControlReply reply = MakeReply(wire::ReplyStatus::kRefused);
  reply.message = std::move(message);
  return reply;
}

RecordDone ReplyWhenRecorded(const cluster::ReplyDone& done) {
  return [done](RecordResult result) {
    using enum wire::ReplyStatus;
    done(MakeReply(result == RecordResult::kRecorded      ? kOk
                   : result == RecordResult::kNotRecorded ? kNotRun
                                                          : kUnknown));
  };
}

}  // namespace

class ControlNode::Impl : public std::enable_shared_from_this<Impl>,
                          public cluster::ReplicatedState,
                          public LeaderContext {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       cluster::Peers& peers,
       WorkerLink& workers,
       telemetry::Metrics& metrics)
      : settings_(settings),
        kernel_(kernel),
        peers_(peers),
        workers_(workers),
        metrics_(metrics),
        leader_metrics_(metrics),
        self_(settings.peer.ToString()),
        timer_(kernel.control()),
        hello_timer_(kernel.control()) {}

  bool Open(kernel::KernelReason& why) {
    cluster::DriverOptions options;
    options.name = self_;
    options.data_folder = settings_.process.data_folder;
    options.election_timeout = settings_.timing.election_timeout;
    options.heartbeat = settings_.timing.heartbeat;
    cluster::DriverReason driver_why;
    driver_ = cluster::ReplicaDriver::Create(
        kernel_.control(), options, *this,
        metrics_.GetHistogram("sassafras_journal_write_seconds",
                              "Write and sync of one batch of the journal."),
        driver_why);
    return driver_ ||
           why.Set(kernel::KernelError::kServiceFailed, driver_why.message);
  }

  void Begin() {
    driver_->Begin();
    const bool has_state =
        !replica().GetMembership().IsEmpty() || replica().GetTerm().value() > 0;
    if (ShouldBootstrap(settings_.peer, settings_.cluster, has_state)) {
      Decision("bootstrap-cluster")
          .With("replica", replica().Self().id)
          .Write();
      driver_->Bootstrap([](const auto&) {});
    }
    Tick();
    SendHello();
  }

  void Close() {
    leader_.reset();
    timer_.cancel();
    hello_timer_.cancel();
    driver_->Close();
  }

  cluster::ReplicaDriver& driver() { return *driver_; }
  const consensus::Replica& replica() const { return driver_->replica(); }
  boost::asio::io_context& control() { return kernel_.control(); }
  void SetClient(cluster::Client& client) { client_ = &client; }

  void Receive(const std::string& body) {
    wire::CodecReason why;
    auto message = wire::DecodeCbor<consensus::Message>(body, why);
    if (!message) {
      Log(LogLevel::kWarning,
          "ignored a consensus message that cannot be decoded: " + why.message);
      return;
    }
    driver_->Receive(*std::move(message));
  }

  std::optional<settings::Endpoint> LeaderEndpoint() const {
    const auto endpoint =
        settings::Endpoint::FromText(replica().Leader().name.str());
    if (!endpoint) {
      return std::nullopt;
    }
    return settings::Endpoint{endpoint->address, settings_.jobs.control.port};
  }

  void Handle(const std::string& method,
              const nlohmann::json& body,
              const cluster::ReplyDone& done) {
    const auto it = Methods().find(method);
    if (it == Methods().end()) {
      done(MakeRefusal("unknown control method \"" + method + "\""));
      return;
    }
    if (!leader_ || !replica().HasCommittedInTerm()) {
      wire::ControlReply reply = MakeReply(wire::ReplyStatus::kNotLeader);
      reply.leader = replica().Leader().name;
      done(reply);
      return;
    }
    // Bodies come from other processes and may be malformed. Each method parses
    // its body first, so that an exception leaves no partial effect.
    try {
      (this->*it->second)(body, done);
    } catch (const nlohmann::json::exception& error) {
      done(MakeRefusal(error.what()));
    }
  }

  // --- cluster::ReplicatedState ---

  bool Restore(const std::string& bytes, std::string& why) override {
    jobs::TableReason table_why;
    auto table = jobs::JobTable::FromSnapshot(bytes, table_why);
    if (!table) {
      why = table_why.message;
      return false;
    }
    table_ = *std::move(table);
    return true;
  }

  std::string Snapshot() override { return table_.Snapshot(); }

  void Apply(const consensus::Record& record) override {
    std::shared_ptr<const jobs::Batch> batch = std::exchange(proposed_, {});
    if (!batch || proposed_bytes_ != record.payload) {
      wire::CodecReason why;
      auto decoded = wire::DecodeCbor<jobs::Batch>(record.payload, why);
      if (!decoded) {
        Log(LogLevel::kError,
            "skipped a committed record that cannot be decoded: " +
                why.message);
        return;
      }
      batch = std::make_shared<const jobs::Batch>(*std::move(decoded));
    }
    proposed_bytes_.clear();
    changes_.Append(table_.Apply(*batch));
    has_changes_ = true;
  }

  void OnBatchApplied() override {
    if (!std::exchange(has_changes_, false)) {
      return;
    }
    const jobs::Changes changes = std::exchange(changes_, {});
    if (leader_) {
      leader_->OnApplied(changes);
    }
  }

  void OnRole(const consensus::RoleChange& change) override {
    Decision("role")
        .With("role", static_cast<int>(change.role))
        .With("term", change.term)
        .With("leader", change.leader.name)
        .Write();
    leader_.reset();
    replica_last_seen_.clear();
    last_role_change_ = Now();
    is_leading_ = change.role == consensus::Role::kLeader;
  }

  void Send(const consensus::Message& message) override {
    peers_.Call(message.to.name, "consensus", wire::EncodeCbor(message),
                kConsensusCallTimeout, [](auto&&, auto&&) {});
  }

  // --- LeaderContext ---

  const jobs::JobTable& table() const override { return table_; }

  void Record(std::shared_ptr<const jobs::Batch> batch,
              RecordDone done) override {
    proposed_bytes_ = wire::EncodeCbor(*batch);
    proposed_ = std::move(batch);
    driver_->Propose(proposed_bytes_, [done = std::move(done)](
                                          const consensus::Resolved& resolved) {
      using enum consensus::Outcome;
      done(resolved.outcome == kCommitted ? RecordResult::kRecorded
           : resolved.outcome == kNotRun  ? RecordResult::kNotRecorded
                                          : RecordResult::kUnknown);
    });
  }

  WorkerLink& workers() override { return workers_; }

  std::vector<wire::EntryId> LiveAdvisers(base::Instant now) override {
    std::vector<wire::EntryId> advisers{self_};
    for (const auto& [name, last_seen] : adviser_last_seen_) {
      if (now - last_seen < kAdviserTimeout) {
        advisers.push_back(name);
      }
    }
    return advisers;
  }

  void QueryAdvice(const wire::EntryId& host,
                   const jobs::AdviceQuery& query,
                   base::Duration timeout,
                   AdviceDone done) override {
    if (host == self_) {
      workers_.QueryAdvice(query, timeout, std::move(done));
      return;
    }
    peers_.Call(
        host, kAdviseMethod, wire::EncodeCbor(query), timeout,
        [done = std::move(done)](std::optional<std::string> body,
                                 const peer::CallReason&) {
          wire::CodecReason why;
          done(body ? wire::DecodeCbor<std::vector<jobs::Permit>>(*body, why)
                    : std::nullopt);
        });
  }

  void Defer(std::function<void()> then) override {
    boost::asio::post(kernel_.control(), std::move(then));
  }

  base::Instant Now() const override { return kernel::MonotonicNow(); }
  base::WallMs WallNow() const override { return kernel::WallNow(); }

 private:
  using Method = void (Impl::*)(const nlohmann::json&,
                                const cluster::ReplyDone&);

  static const std::map<std::string, Method, std::less<>>& Methods() {
    static const auto* const methods =
        new std::map<std::string, Method, std::less<>>{
            {std::string(kSubmitMethod), &Impl::Submit},
            {std::string(kStateMethod), &Impl::GetState},
            {std::string(kCancelMethod), &Impl::Cancel},
            {std::string(kCountMethod), &Impl::CountWaitingJobs},
            {std::string(kPutMethod), &Impl::PutManifest},
            {std::string(kGetMethod), &Impl::GetManifest},
            {std::string(kHeartbeatMethod), &Impl::OnHeartbeat},
            {std::string(kLeaveMethod), &Impl::OnLeave},
            {std::string(kHelloMethod), &Impl::OnHello},
            {std::string(kJoinMethod), &Impl::Join},
        };
    return *methods;
  }

  void Submit(const nlohmann::json& body, const cluster::ReplyDone& done) {
    auto job = body.get<jobs::AddJob>();
    if (table_.manifest().FindQueue(job.queue) == nullptr) {
      done(
          MakeRefusal("the manifest has no queue \"" + job.queue.str() + "\""));
      return;
    }
    leader_->Submit(std::move(job), ReplyWhenRecorded(done));
  }

  const jobs::JobRecord* FindJob(const JobQuery& query) const {
    const jobs::JobRecord* job = table_.FindJob(query.job);
    return job != nullptr && job->queue == query.queue ? job : nullptr;
  }

  // Calls `then` with the job, or replies that it doesn't exist. The negative
  // reply follows a barrier, which proves that this replica still leads.
  void WithFoundJob(const JobQuery& query,
                    const cluster::ReplyDone& done,
                    std::function<void(const jobs::JobRecord&)> then) {
    if (const jobs::JobRecord* job = FindJob(query)) {
      then(*job);
      return;
    }
    driver_->Barrier([self = shared_from_this(), query, done,
                      then = std::move(then)](bool passed) {
      const jobs::JobRecord* job = self->FindJob(query);
      if (!passed) {
        done(MakeReply(wire::ReplyStatus::kNotRun));
      } else if (job == nullptr) {
        done(MakeReply(wire::ReplyStatus::kOk, JobStatus{}));
      } else {
        then(*job);
      }
    });
  }

  void GetState(const nlohmann::json& body, const cluster::ReplyDone& done) {
    WithFoundJob(body.get<JobQuery>(), done,
                 [done](const jobs::JobRecord& job) {
                   done(MakeReply(wire::ReplyStatus::kOk, JobStatusOf(job)));
                 });
  }

  void Cancel(const nlohmann::json& body, const cluster::ReplyDone& done) {
    WithFoundJob(
        body.get<JobQuery>(), done,
        [self = shared_from_this(), done](const jobs::JobRecord& job) {
          if (!self->leader_) {
            done(MakeReply(wire::ReplyStatus::kNotRun));
            return;
          }
          self->leader_->Cancel(job.id, [self, done,
                                         id = job.id](RecordResult result) {
            const jobs::JobRecord* cancelled = self->table_.FindJob(id);
            if (result == RecordResult::kRecorded && cancelled != nullptr) {
              done(MakeReply(wire::ReplyStatus::kOk, JobStatusOf(*cancelled)));
            } else {
              ReplyWhenRecorded(done)(result);
            }
          });
        });
  }

  void CountWaitingJobs(const nlohmann::json& body,
                        const cluster::ReplyDone& done) {
    const auto query = body.get<JobQuery>();
    if (table_.manifest().FindQueue(query.queue) == nullptr) {
      done(MakeRefusal("the manifest has no queue \"" + query.queue.str() +
                       "\""));
      return;
    }
    done(MakeReply(wire::ReplyStatus::kOk,
                   table_.CountWaitingJobs(query.queue)));
  }

  void PutManifest(const nlohmann::json& body, const cluster::ReplyDone& done) {
    auto manifest = body.get<jobs::Manifest>();
    const std::string fault = jobs::FaultOf(manifest);
    if (!fault.empty()) {
      done(MakeRefusal(fault));
      return;
    }
    leader_->PutManifest(std::move(manifest), ReplyWhenRecorded(done));
  }

  void GetManifest(const nlohmann::json&, const cluster::ReplyDone& done) {
    driver_->Barrier([self = shared_from_this(), done](bool passed) {
      const jobs::Manifest& manifest = self->table_.manifest();
      done(passed && manifest.version != 0
               ? MakeReply(wire::ReplyStatus::kOk, manifest.text)
               : MakeReply(wire::ReplyStatus::kNotRun));
    });
  }

  void OnHeartbeat(const nlohmann::json& body, const cluster::ReplyDone& done) {
    const auto heartbeat = body.get<WorkerHeartbeat>();
    leader_->OnHeartbeat(heartbeat.worker, heartbeat.clock_ms,
                         ReplyWhenRecorded(done));
  }

  void OnLeave(const nlohmann::json& body, const cluster::ReplyDone& done) {
    leader_->OnLeave(body.get<jobs::WorkerBoot>(), ReplyWhenRecorded(done));
  }

  void OnHello(const nlohmann::json& body, const cluster::ReplyDone& done) {
    const auto hello = body.get<Hello>();
    if (hello.is_adviser) {
      adviser_last_seen_[hello.name] = Now();
    }
    if (!hello.replica.empty()) {
      replica_last_seen_[hello.name] = Now();
    }
    HelloReply answer;
    answer.members = Members();
    if (hello.replica.empty() &&
        hello.manifest_version < table_.manifest().version) {
      answer.manifest = table_.manifest();
      answer.manifest.text.clear();
    }
    done(MakeReply(wire::ReplyStatus::kOk, answer));
  }

  std::vector<consensus::Member> Members() const {
    const consensus::Membership& membership = replica().GetMembership();
    std::vector<consensus::Member> members = membership.voters;
    std::ranges::copy(membership.learners, std::back_inserter(members));
    return members;
  }

  void Join(const nlohmann::json& body, const cluster::ReplyDone& done) {
    const auto candidate = body.get<consensus::Member>();
    const JoinAction action = DecideJoin(replica().GetMembership(), candidate);
    Decision("join")
        .With("host", candidate.name)
        .With("replica", candidate.id)
        .With("step", action.index())
        .Write();
    const auto ignore = [](const auto&) {};
    if (const auto* add = std::get_if<AddMember>(&action)) {
      driver_->AddLearner(add->member, ignore);
    } else if (const auto* remove = std::get_if<RemoveMember>(&action)) {
      driver_->Remove(remove->id, ignore);
    }
    done(MakeReply(wire::ReplyStatus::kOk));
  }

  // Runs periodic work: creates the leader once this replica has applied all
  // earlier commits, and removes lost voters while it leads.
  void Tick() {
    if (is_leading_ && !leader_ && driver_->IsReadyToLead()) {
      BeginTerm();
    }
    if (leader_) {
      leader_->Tick();
      RemoveLostVoter();
    }
    timer_.expires_after(kTickPeriod);
    timer_.async_wait([self = shared_from_this()](auto ec) {
      if (!ec) {
        self->Tick();
      }
    });
  }

  void BeginTerm() {
    LeaderOptions options;
    options.term = replica().GetTerm().value();
    options.session.max_lease = settings_.jobs.max_lease;
    options.session.lease = std::min(kWorkerLease, settings_.jobs.max_lease);
    leader_ = Leader::Create(*this, options, leader_metrics_);
  }

  void RemoveLostVoter() {
    if (Now() - last_role_change_ < kVoterLossTimeout) {
      return;
    }
    const auto id =
        FindLostVoter(replica().GetMembership(), replica().Self().id,
                      replica_last_seen_, Now(), kVoterLossTimeout);
    if (id) {
      Decision("remove-lost-voter").With("replica", *id).Write();
      last_role_change_ = Now();
      driver_->Remove(*id, [](const auto&) {});
    }
  }

  // Reports this host to the leader. OnHelloReply() asks to join if the reply
  // shows that this host isn't a member.
  void SendHello() {
    Hello hello;
    hello.name = self_;
    hello.is_adviser = true;
    hello.replica = replica().Self().id;
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

  void OnHelloReply(const wire::ControlReply& reply) {
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
    if (!is_member) {
      client_->Call(std::string(kJoinMethod), replica().Self(), kHelloTimeout,
                    cluster::Resend::kYes, [](const auto&) {});
    }
  }

  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  cluster::Peers& peers_;
  WorkerLink& workers_;
  telemetry::Metrics& metrics_;
  const LeaderMetrics leader_metrics_;
  const wire::EntryId self_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer hello_timer_;
  cluster::Client* client_ = nullptr;
  std::shared_ptr<cluster::ReplicaDriver> driver_;  // set by Open()
  jobs::JobTable table_;
  jobs::Changes changes_;  // not yet passed to the leader
  bool has_changes_ = false;
  // The batch that this leader proposed last and its encoded record. Apply()
  // uses the batch instead of decoding the record; both are cleared when any
  // record is applied.
  std::shared_ptr<const jobs::Batch> proposed_;
  std::string proposed_bytes_;
  bool is_leading_ = false;
  std::shared_ptr<Leader> leader_;  // null unless this replica leads
  base::Instant last_role_change_;  // or last removal of a lost voter
  // Times of the last hello, by sender.
  std::map<wire::EntryId, base::Instant> adviser_last_seen_;
  std::map<wire::EntryId, base::Instant> replica_last_seen_;
};

ControlNode::ControlNode(const settings::Settings& settings,
                         kernel::Kernel& kernel,
                         cluster::Peers& peers,
                         cluster::PeerService& peer_service,
                         WorkerLink& workers,
                         telemetry::Metrics& metrics)
    : impl_(std::make_shared<Impl>(settings, kernel, peers, workers, metrics)) {
  const auto executor = kernel.control().get_executor();
  ServeAdvice(peer_service, executor, workers);
  peer_service.Register(
      "consensus", executor,
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        respond(200, "");
        impl->Receive(body);
      });
  for (const auto method :
       {kSubmitMethod, kStateMethod, kCancelMethod, kCountMethod, kPutMethod,
        kGetMethod, kHeartbeatMethod, kLeaveMethod, kHelloMethod,
        kJoinMethod}) {
    const std::string name(method);
    peer_service.Register("control/" + name, executor,
                          [impl = impl_, name](const std::string& body,
                                               const peer::Respond& respond) {
                            wire::CodecReason why;
                            const auto value = wire::ParseCbor(body, why);
                            if (!value) {
                              respond(400, why.message);
                              return;
                            }
                            impl->Handle(
                                name, *value,
                                [respond](const wire::ControlReply& reply) {
                                  respond(200, wire::EncodeCbor(reply));
                                });
                          });
  }
}

ControlNode::~ControlNode() = default;

void ControlNode::Handle(const std::string& method,
                         const nlohmann::json& body,
                         const cluster::ReplyDone& done) {
  impl_->Handle(method, body, done);
}

void ControlNode::SetClient(cluster::Client& client) {
  impl_->SetClient(client);
}

std::optional<settings::Endpoint> ControlNode::LeaderEndpoint() const {
  return impl_->LeaderEndpoint();
}

bool ControlNode::Start(kernel::KernelReason& why) {
  bool is_open = false;
  kernel::RunOn(impl_->control().get_executor(), [&] {
    is_open = impl_->Open(why);
    if (is_open) {
      impl_->Begin();
    }
  });
  return is_open;
}

void ControlNode::Drain(std::function<void()> done) {
  boost::asio::post(impl_->control(),
                    [impl = impl_, done = std::move(done)]() mutable {
                      impl->driver().DrainLeadership(std::move(done));
                    });
}

void ControlNode::Stop() {
  kernel::RunOn(impl_->control().get_executor(), [this] { impl_->Close(); });
  impl_->driver().CloseJournal();
}

}  // namespace sassafras::jobcontrol
