// Passes messages, timer ticks and journal results to the consensus core and
// carries out the resulting effects in order.

#include "cluster/replica_driver.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include <boost/asio/post.hpp>

#include "base/random.h"
#include "kernel/kernel.h"
#include "telemetry/log.h"

namespace sassafras::cluster {
namespace {

// How often DrainLeadership() checks and repeats the transfer.
constexpr auto kTransferPollInterval = std::chrono::milliseconds(20);
// Exit status after a journal or snapshot failure.
constexpr int kExitStorageFailed = 70;
// Payload bytes that are applied before other work on the control thread may
// run. A restarted replica has its whole log to apply and must keep answering
// its leader or its followers meanwhile.
constexpr size_t kApplyBatchBytes = 64 << 10;

// Exits at once, without cleanup, as in a crash; only the reason is written.
[[noreturn]] void ExitAfterFailure(const std::string& reason) {
  telemetry::Log(telemetry::LogLevel::kError, reason);
  telemetry::FlushLog();
  std::_Exit(kExitStorageFailed);
}

}  // namespace

ReplicaDriver::ReplicaDriver(boost::asio::io_context& control,
                             ReplicatedState& state)
    : control_(control), state_(state), timer_(control) {}

std::shared_ptr<ReplicaDriver> ReplicaDriver::Create(
    boost::asio::io_context& control,
    const DriverOptions& options,
    ReplicatedState& state,
    telemetry::Histogram& journal_write,
    DriverReason& why) {
  std::shared_ptr<ReplicaDriver> driver(new ReplicaDriver(control, state));
  return driver->Open(options, journal_write, why) ? driver : nullptr;
}

bool ReplicaDriver::Open(const DriverOptions& options,
                         telemetry::Histogram& journal_write,
                         DriverReason& why) {
  consensus::Recovered recovered;
  storage::StorageReason storage_why;
  auto journal =
      storage::Journal::Open(options.data_folder, recovered, storage_why);
  if (!journal) {
    return why.Set(DriverError::kStorage, storage_why.message);
  }
  std::string restore_why;
  if (recovered.snapshot &&
      !state_.Restore(*recovered.snapshot->bytes, restore_why)) {
    return why.Set(DriverError::kSnapshot,
                   "snapshot can't be restored: " + restore_why);
  }
  consensus::Options core_options;
  core_options.name = options.name;
  core_options.election_timeout = options.election_timeout;
  core_options.heartbeat = options.heartbeat;
  core_options.max_voters = options.max_voters;
  consensus::ConsensusReason consensus_why;
  base::Random random = base::Random::FromSystem();
  replica_ = consensus::Replica::Create(core_options, std::move(recovered),
                                        random.Below(UINT64_MAX),
                                        kernel::MonotonicNow(), consensus_why);
  if (!replica_) {
    return why.Set(DriverError::kConsensus, consensus_why.message);
  }
  StartJournal(*std::move(journal), journal_write);
  return true;
}

void ReplicaDriver::StartJournal(storage::Journal journal,
                                 telemetry::Histogram& journal_write) {
  JournalThread::Callbacks callbacks;
  callbacks.on_synced = [weak = weak_from_this(),
                         &control = control_](consensus::Sequence sequence) {
    boost::asio::post(control, [weak, sequence] {
      if (const auto self = weak.lock()) {
        self->Step(consensus::Synced{sequence});
      }
    });
  };
  // A replica that can't write its log must not take part in the group.
  callbacks.on_failed = [](const std::string& message) {
    ExitAfterFailure("the replica's log can't be written; exiting: " + message);
  };
  journal_ = std::make_unique<JournalThread>(
      std::move(journal), std::move(callbacks), journal_write);
}

void ReplicaDriver::Begin() {
  Step(consensus::Tick{});
}

void ReplicaDriver::Receive(consensus::Message message) {
  Step(consensus::Receive{std::move(message)});
}

void ReplicaDriver::Propose(std::string payload, ResolvedDone done) {
  const consensus::Token token = RegisterCallback(std::move(done));
  Step(consensus::Propose{token, std::move(payload)});
}

// A shared barrier starts after all calls that it serves have arrived, so one
// round of messages is valid for each of them.
void ReplicaDriver::Barrier(BarrierDone done) {
  queued_barriers_.push_back(std::move(done));
  if (!is_barrier_running_) {
    StartBarrier();
  }
}

void ReplicaDriver::StartBarrier() {
  is_barrier_running_ = true;
  auto barrier_callbacks = std::exchange(queued_barriers_, {});
  const consensus::Token token =
      RegisterCallback([this, barrier_callbacks = std::move(barrier_callbacks)](
                           const consensus::Resolved& it) {
        const bool passed = it.outcome == consensus::Outcome::kBarrierPassed;
        is_barrier_running_ = false;
        std::ranges::for_each(barrier_callbacks,
                              [&](auto& done) { done(passed); });
        if (!is_barrier_running_ && !queued_barriers_.empty()) {
          StartBarrier();
        }
      });
  Step(consensus::ReadBarrier{token});
}

template <typename Event>
void ReplicaDriver::StepWithToken(Event event, ResolvedDone done) {
  event.token = RegisterCallback(std::move(done));
  Step(std::move(event));
}

void ReplicaDriver::Bootstrap(ResolvedDone done) {
  StepWithToken(consensus::Bootstrap{}, std::move(done));
}

void ReplicaDriver::AddLearner(const consensus::Member& member,
                               ResolvedDone done) {
  StepWithToken(consensus::AddLearner{.member = member}, std::move(done));
}

void ReplicaDriver::PromoteLearner() {
  Step(consensus::PromoteLearner{});
}

void ReplicaDriver::Remove(const consensus::ReplicaId& id, ResolvedDone done) {
  StepWithToken(consensus::RemoveMember{.id = id}, std::move(done));
}

void ReplicaDriver::TransferLeadership() {
  Step(consensus::TransferLeadership{});
}

void ReplicaDriver::DrainLeadership(std::function<void()> done) {
  const bool is_leader = replica_->GetRole() == consensus::Role::kLeader;
  if (!is_leader || replica_->GetMembership().voters.size() < 2) {
    done();
    return;
  }
  TransferLeadership();
  const auto timer = std::make_shared<boost::asio::steady_timer>(control_);
  timer->expires_after(kTransferPollInterval);
  timer->async_wait([self = shared_from_this(), timer,
                     done = std::move(done)](auto /*ec*/) mutable {
    self->DrainLeadership(std::move(done));
  });
}

void ReplicaDriver::Close() {
  is_closed_ = true;
  timer_.cancel();
}

void ReplicaDriver::CloseJournal() {
  journal_.reset();
}

consensus::Token ReplicaDriver::RegisterCallback(ResolvedDone done) {
  last_token_ = last_token_.Next();
  callbacks_by_token_.emplace(last_token_, std::move(done));
  return last_token_;
}

// Carrying out effects may cause further events. They are queued until the
// effects of the current event are carried out.
void ReplicaDriver::Step(consensus::Event event) {
  if (is_closed_) {
    return;
  }
  events_.push_back(std::move(event));
  if (is_stepping_) {
    return;
  }
  is_stepping_ = true;
  while (!events_.empty()) {
    const consensus::Event next = std::move(events_.front());
    events_.erase(events_.begin());
    CarryOut(replica_->Step(kernel::MonotonicNow(), next));
  }
  is_stepping_ = false;
  ArmTimer();
}

void ReplicaDriver::CarryOut(consensus::Effects effects) {
  if (effects.persist) {
    journal_->Enqueue(*std::move(effects.persist));
  }
  std::ranges::for_each(effects.messages,
                        [this](auto& it) { state_.Send(it); });
  StateChange change;
  change.restore = std::move(effects.restore);
  change.committed = std::move(effects.committed);
  change.role_change = std::move(effects.role_change);
  change.resolved = std::move(effects.resolved);
  change.take_snapshot_at = effects.take_snapshot_at;
  state_changes_.push_back(std::move(change));
  if (!is_applying_) {
    is_applying_ = true;
    ApplyStateChanges();
  }
}

// Applies the queued changes in order. After kApplyBatchBytes it posts the rest
// to the control thread, so that other work can run in between.
void ReplicaDriver::ApplyStateChanges() {
  size_t bytes_left = kApplyBatchBytes;
  while (!state_changes_.empty() && !is_closed_) {
    if (!ApplyRecords(state_changes_.front(), bytes_left)) {
      boost::asio::post(
          control_, [self = shared_from_this()] { self->ApplyStateChanges(); });
      return;
    }
    StateChange change = std::move(state_changes_.front());
    state_changes_.pop_front();
    FinishChange(std::move(change));
  }
  is_applying_ = false;
}

// Returns false if records are left to apply.
bool ReplicaDriver::ApplyRecords(StateChange& change, size_t& bytes_left) {
  if (const auto restore = std::exchange(change.restore, std::nullopt)) {
    RestoreInstalledSnapshot(*restore);
  }
  while (change.applied < change.committed.size() && bytes_left > 0) {
    const consensus::Record& record = change.committed[change.applied++];
    bytes_left -= std::min(bytes_left, record.payload.size());
    if (record.kind == consensus::RecordKind::kCommand) {
      state_.Apply(record);
    }
  }
  return change.applied == change.committed.size();
}

void ReplicaDriver::FinishChange(StateChange change) {
  if (change.role_change) {
    state_.OnRole(*change.role_change);
  }
  state_.OnBatchApplied();
  std::ranges::for_each(change.resolved, [this](auto& it) { Resolve(it); });
  if (change.take_snapshot_at) {
    const auto bytes = std::make_shared<const std::string>(state_.Snapshot());
    Step(consensus::SnapshotTaken{*change.take_snapshot_at, bytes});
  }
}

bool ReplicaDriver::IsReadyToLead() const {
  return replica_->HasCommittedInTerm() && state_changes_.empty();
}

void ReplicaDriver::RestoreInstalledSnapshot(
    const consensus::Snapshot& snapshot) {
  std::string why;
  if (!state_.Restore(*snapshot.bytes, why)) {
    ExitAfterFailure("the installed snapshot can't be restored; exiting: " +
                     why);
  }
}

void ReplicaDriver::Resolve(const consensus::Resolved& resolved) {
  const auto node = callbacks_by_token_.extract(resolved.token);
  if (!node.empty()) {
    node.mapped()(resolved);
  }
}

void ReplicaDriver::ArmTimer() {
  const base::Instant next = replica_->NextDeadline();
  if (next == base::Instant::max() || is_closed_) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(kernel::ToSteady(next));
  timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->Step(consensus::Tick{});
    }
  });
}

}  // namespace sassafras::cluster
