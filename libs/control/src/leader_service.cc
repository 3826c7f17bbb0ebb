// Creates and destroys the LeaderTerm as the role of the replica changes, and
// dispatches calls to it.

#include "control/leader_service.h"

#include <map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "leader_term.h"
#include "propose_reply.h"
#include "telemetry/decision.h"
#include "telemetry/log.h"
#include "wire/codec.h"

namespace sassafras::control {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(50);
constexpr auto kIdentityTimeout = std::chrono::seconds(1);

// Returns the member with the id or, without one, the name in `body`.
const consensus::Member* FindMember(const consensus::Membership& members,
                                    const nlohmann::json& body) {
  return body.contains("id")
             ? members.Find(consensus::ReplicaId(body.value("id", "")))
             : members.FindByName(wire::EntryId(body.value("name", "")));
}

}  // namespace

class LeaderService::Impl : public std::enable_shared_from_this<Impl>,
                            public ReplicaObserver {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       Peers& peers,
       ReplicaService& replica)
      : settings_(settings),
        kernel_(kernel),
        peers_(peers),
        replica_(replica),
        timer_(kernel.control()) {}

  void Begin() {
    replica_.SetObserver(this);
    Tick();
  }

  void Close() {
    replica_.SetObserver(nullptr);
    timer_.cancel();
    term_.reset();
  }

  boost::asio::io_context& control() { return kernel_.control(); }

  void Handle(const std::string& method,
              const nlohmann::json& body,
              const ReplyDone& done) {
    const auto it = Methods().find(method);
    if (it == Methods().end()) {
      done(RefusedReply("unknown control method \"" + method + "\""));
      return;
    }
    if (!term_ || !replica_.IsReadyToLead()) {
      wire::ControlReply reply;
      reply.status = wire::ReplyStatus::kNotLeader;
      reply.leader = replica_.replica().Leader().name;
      done(reply);
      return;
    }
    // Bodies come from operators and other processes and may be malformed.
    // Methods parse their bodies before they change any state, so an exception
    // leaves no partial change.
    try {
      (this->*it->second)(body, done);
    } catch (const nlohmann::json::exception& error) {
      done(RefusedReply(error.what()));
    }
  }

  void OnApplied(const std::vector<state::Change>& changes) override {
    if (const auto term = term_) {
      term->OnChanges(kernel::MonotonicNow(), changes);
    }
  }

  void OnRole(const consensus::RoleChange& change) override {
    telemetry::Decision("role")
        .With("role", static_cast<int>(change.role))
        .With("term", change.term)
        .With("leader", change.leader.name)
        .Write();
    term_.reset();
    replica_.metrics().ResetLeaderGauges();
    if (change.role != consensus::Role::kLeader) {
      return;
    }
    std::string why;
    term_ = LeaderTerm::Create(settings_, replica_, change.term,
                               kernel::MonotonicNow(), why);
    if (!term_) {
      telemetry::Log(
          telemetry::LogLevel::kError,
          "cannot start the leader term; transferring leadership: " + why);
      replica_.TransferLeadership();
    }
  }

 private:
  using Method = void (Impl::*)(const nlohmann::json&, const ReplyDone&);

  static const std::map<std::string, Method>& Methods() {
    static const auto* const methods = new std::map<std::string, Method>{
        {"propose", &Impl::CallTerm<&LeaderTerm::Propose>},
        {"renew", &Impl::CallTerm<&LeaderTerm::Renew>},
        {"worker-heartbeat", &Impl::CallTerm<&LeaderTerm::WorkerHeartbeat>},
        {"upstream-heartbeat", &Impl::CallTerm<&LeaderTerm::UpstreamHeartbeat>},
        {"query", &Impl::CallTerm<&LeaderTerm::Query>},
        {"cluster-add", &Impl::AddReplica},
        {"cluster-remove", &Impl::RemoveReplica},
    };
    return *methods;
  }

  template <auto kMember>
  void CallTerm(const nlohmann::json& body, const ReplyDone& done) {
    const auto term = term_;
    ((*term).*kMember)(body, done);
  }

  void Tick() {
    if (const auto term = term_) {
      term->Tick(kernel::MonotonicNow());
    }
    timer_.expires_after(kTickPeriod);
    timer_.async_wait([self = shared_from_this()](auto ec) {
      if (!ec) {
        self->Tick();
      }
    });
  }

  // Requests the identity of the data folder from the process, then adds it as
  // a learner.
  void AddReplica(const nlohmann::json& body, const ReplyDone& done) {
    const wire::EntryId name(body.value("name", ""));
    peers_.Call(
        name, "identity", "", kIdentityTimeout,
        [self = shared_from_this(), done](std::optional<std::string> answer,
                                          const peer::CallReason& why) {
          wire::CodecReason codec_why;
          const auto member =
              answer ? wire::DecodeCbor<consensus::Member>(*answer, codec_why)
                     : std::nullopt;
          if (!member) {
            done(
                RefusedReply("cannot get the identity of the process to add: " +
                             why.message + codec_why.message));
            return;
          }
          self->replica_.AddLearner(
              *member, [done](const ProposeResult& result) {
                done(ToControlReply(result, nlohmann::json::object()));
              });
        });
  }

  void RemoveReplica(const nlohmann::json& body, const ReplyDone& done) {
    // A member whose removal isn't committed yet is still one: the removal may
    // be undone.
    const consensus::Replica& replica = replica_.replica();
    const consensus::Member* member = FindMember(replica.GetMembership(), body);
    if (!member) {
      member = FindMember(replica.CommittedMembership(), body);
    }
    if (!member) {
      done(RefusedReply(
          "the cluster has no control replica with this name or id"));
      return;
    }
    replica_.Remove(member->id, [done](const ProposeResult& result) {
      done(ToControlReply(result, nlohmann::json::object()));
    });
  }

  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  Peers& peers_;
  ReplicaService& replica_;
  boost::asio::steady_timer timer_;
  // Null while this replica is not the leader. A proposal made within a call to
  // the term may discover that the term has ended, and OnRole() then resets
  // this pointer. Every call therefore holds its own reference.
  std::shared_ptr<LeaderTerm> term_;
};

LeaderService::LeaderService(const settings::Settings& settings,
                             kernel::Kernel& kernel,
                             Peers& peers,
                             PeerService& peer_service,
                             ReplicaService& replica)
    : impl_(std::make_shared<Impl>(settings, kernel, peers, replica)) {
  for (const char* method :
       {"propose", "renew", "worker-heartbeat", "upstream-heartbeat", "query",
        "cluster-add", "cluster-remove"}) {
    peer_service.Register(
        std::string("control/") + method, kernel.control().get_executor(),
        [impl = impl_, method](const std::string& bytes,
                               const peer::Respond& respond) {
          wire::CodecReason why;
          const auto body = wire::ParseCbor(bytes, why);
          if (!body) {
            respond(400, why.message);
            return;
          }
          impl->Handle(method, *body, [respond](const wire::ControlReply& it) {
            respond(200, wire::EncodeCbor(it));
          });
        });
  }
}

LeaderService::~LeaderService() = default;

void LeaderService::Handle(const std::string& method,
                           const nlohmann::json& body,
                           ReplyDone done) {
  impl_->Handle(method, body, done);
}

bool LeaderService::Start(kernel::KernelReason& /*why*/) {
  kernel::RunOn(impl_->control().get_executor(), [this] { impl_->Begin(); });
  return true;
}

void LeaderService::Stop() {
  kernel::RunOn(impl_->control().get_executor(), [this] { impl_->Close(); });
}

}  // namespace sassafras::control
