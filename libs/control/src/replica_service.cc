// Connects the replicated state of control to a consensus driver: applies
// decoded commands, returns their results to the proposers, and notifies the
// observer.

#include "control/replica_service.h"

#include <chrono>
#include <map>
#include <utility>

#include <boost/asio/post.hpp>

#include "cluster/replica_driver.h"
#include "telemetry/log.h"

namespace sassafras::control {
namespace {

constexpr auto kMessageTimeout = std::chrono::seconds(2);

using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

class ReplicaService::Impl : public cluster::ReplicatedState {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       Peers& peers,
       telemetry::Metrics& metrics)
      : metrics_(metrics),
        settings_(settings),
        kernel_(kernel),
        peers_(peers) {}

  bool Open(kernel::KernelReason& why) {
    cluster::DriverOptions options;
    options.name = settings_.process.name;
    options.data_folder = settings_.process.data_folder;
    options.election_timeout = settings_.timing.election_timeout;
    options.heartbeat = settings_.timing.heartbeat;
    cluster::DriverReason driver_why;
    driver_ = cluster::ReplicaDriver::Create(
        kernel_.control(), options, *this, metrics_.journal_write, driver_why);
    return driver_ ||
           why.Set(kernel::KernelError::kServiceFailed, driver_why.message);
  }

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

  // Returns a callback that passes `done` the outcome of a proposal and, if it
  // was applied, the result of its command.
  cluster::ResolvedDone MakeResolvedCallback(ProposeDone done) {
    return [this, done = std::move(done)](const consensus::Resolved& it) {
      ProposeResult result;
      result.outcome = it.outcome;
      result.error = it.why.code;
      result.message = it.why.message;
      const auto applied = results_.find(it.index);
      if (applied != results_.end()) {
        result.result = applied->second;
      }
      done(result);
    };
  }

  bool Restore(const std::string& bytes, std::string& why) override {
    state::StateReason state_why;
    auto machine = state::Machine::FromSnapshot(bytes, state_why);
    if (!machine) {
      why = state_why.message;
      return false;
    }
    machine_ = *std::move(machine);
    return true;
  }

  std::string Snapshot() override { return machine_.Snapshot(); }

  void Apply(const consensus::Record& record) override {
    wire::CodecReason why;
    const auto command = wire::DecodeCommand(record.payload, why);
    wire::CommandResult result{wire::ResultCode::kInvalid, why.message, {}};
    if (command) {
      result = machine_.Apply(record.index.value(), *command);
    }
    if (has_stale_results_) {
      results_.clear();
      has_stale_results_ = false;
    }
    results_.emplace(record.index, std::move(result));
    metrics_.applied.Add();
  }

  void OnBatchApplied() override {
    has_stale_results_ = true;
    const auto changes = machine_.TakeChanges();
    if (!changes.empty() && observer_) {
      observer_->OnApplied(changes);
    }
    UpdateMetrics();
  }

  void OnRole(const consensus::RoleChange& change) override {
    if (observer_) {
      observer_->OnRole(change);
    }
  }

  void Send(const consensus::Message& message) override {
    peers_.Call(message.to.name, "consensus", wire::EncodeCbor(message),
                kMessageTimeout, [](auto&&, auto&&) {});
  }

  boost::asio::io_context& control() { return kernel_.control(); }
  cluster::ReplicaDriver& driver() { return *driver_; }
  const state::Machine& machine() const { return machine_; }
  const consensus::Replica& replica() const { return driver_->replica(); }
  const ControlMetrics& metrics() const { return metrics_; }
  void SetObserver(ReplicaObserver* observer) { observer_ = observer; }

 private:
  // Does nothing before Open() has set `driver_`: ReplicaDriver::Create() may
  // already call this object.
  void UpdateMetrics() const {
    if (!driver_) {
      return;
    }
    const auto set = [](auto& gauge, uint64_t value) {
      gauge.Set(static_cast<double>(value));
    };
    const consensus::Replica& replica = driver_->replica();
    set(metrics_.term, replica.GetTerm().value());
    set(metrics_.commit_index, replica.CommitIndex().value());
    set(metrics_.document_version, machine_.document().version().value());
    metrics_.is_leader.Set(replica.GetRole() == consensus::Role::kLeader ? 1
                                                                         : 0);
  }

  const ControlMetrics metrics_;
  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  Peers& peers_;
  ReplicaObserver* observer_ = nullptr;
  std::shared_ptr<cluster::ReplicaDriver> driver_;  // set by Open()
  state::Machine machine_;
  // Results of the last applied batch, by log index, for its proposers.
  std::map<consensus::Index, wire::CommandResult> results_;
  // Set after a batch: `results_` is cleared when the next batch begins.
  bool has_stale_results_ = false;
};

ReplicaService::ReplicaService(const settings::Settings& settings,
                               kernel::Kernel& kernel,
                               Peers& peers,
                               PeerService& peer_service,
                               telemetry::Metrics& metrics)
    : impl_(std::make_shared<Impl>(settings, kernel, peers, metrics)) {
  peer_service.Register(
      "consensus", kernel.control().get_executor(),
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        respond(200, "");
        impl->Receive(body);
      });
  peer_service.Register(
      "identity", kernel.control().get_executor(),
      [impl = impl_](const std::string&, const peer::Respond& respond) {
        respond(200, wire::EncodeCbor(impl->replica().Self()));
      });
}

ReplicaService::~ReplicaService() = default;

void ReplicaService::SetObserver(ReplicaObserver* observer) {
  impl_->SetObserver(observer);
}

void ReplicaService::Propose(const wire::Command& command, ProposeDone done) {
  impl_->driver().Propose(wire::EncodeCommand(command),
                          impl_->MakeResolvedCallback(std::move(done)));
}

void ReplicaService::Barrier(BarrierDone done) {
  impl_->driver().Barrier(std::move(done));
}

void ReplicaService::Bootstrap(ProposeDone done) {
  impl_->driver().Bootstrap(impl_->MakeResolvedCallback(std::move(done)));
}

void ReplicaService::AddLearner(const consensus::Member& member,
                                ProposeDone done) {
  impl_->driver().AddLearner(member,
                             impl_->MakeResolvedCallback(std::move(done)));
}

void ReplicaService::Remove(const consensus::ReplicaId& id, ProposeDone done) {
  impl_->driver().Remove(id, impl_->MakeResolvedCallback(std::move(done)));
}

void ReplicaService::TransferLeadership() {
  impl_->driver().TransferLeadership();
}

const state::Machine& ReplicaService::machine() const {
  return impl_->machine();
}

bool ReplicaService::IsReadyToLead() const {
  return impl_->driver().IsReadyToLead();
}

const consensus::Replica& ReplicaService::replica() const {
  return impl_->replica();
}

const ControlMetrics& ReplicaService::metrics() const {
  return impl_->metrics();
}

bool ReplicaService::Start(kernel::KernelReason& why) {
  bool is_open = false;
  kernel::RunOn(impl_->control().get_executor(), [&] {
    is_open = impl_->Open(why);
    if (is_open) {
      impl_->driver().Begin();
    }
  });
  return is_open;
}

void ReplicaService::Drain(std::function<void()> done) {
  boost::asio::post(impl_->control(),
                    [impl = impl_, done = std::move(done)]() mutable {
                      impl->driver().DrainLeadership(std::move(done));
                    });
}

void ReplicaService::Stop() {
  kernel::RunOn(impl_->control().get_executor(),
                [this] { impl_->driver().Close(); });
  impl_->driver().CloseJournal();
}

}  // namespace sassafras::control
