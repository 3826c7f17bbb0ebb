// Feeds the consensus core with messages, time and storage results, and
// carries out its effects in order.

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

constexpr auto kTransferPoll = std::chrono::milliseconds(20);
constexpr int kExitStorageFailed = 70;
// Applied without a pause. A replica that was started again has its whole log
// to apply, and must go on answering its leader or its followers meanwhile.
constexpr size_t kBytesAtOnce = 64 << 10;

using telemetry::Log;
using telemetry::LogLevel;

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
    return why.Set(DriverError::kSnapshot, "snapshot: " + restore_why);
  }
  consensus::Options core_options;
  core_options.name = options.name;
  core_options.election_timeout = options.election_timeout;
  core_options.heartbeat = options.heartbeat;
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
  // A replica that can't write its log must not take part any more; it ends
  // at once, as after a crash.
  callbacks.on_failed = [](const std::string& message) {
    Log(LogLevel::kError, "the log can't be written: " + message);
    std::_Exit(kExitStorageFailed);
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
  const consensus::Token token = Expect(std::move(done));
  Step(consensus::Propose{token, std::move(payload)});
}

// A shared barrier begins after each of the questions that it answers, and one
// round serves them all.
void ReplicaDriver::Barrier(BarrierDone done) {
  barrier_waiting_.push_back(std::move(done));
  if (!is_barrier_running_) {
    BeginBarrier();
  }
}

void ReplicaDriver::BeginBarrier() {
  is_barrier_running_ = true;
  auto asked = std::exchange(barrier_waiting_, {});
  const consensus::Token token =
      Expect([this, asked = std::move(asked)](const consensus::Resolved& it) {
        const bool passed = it.outcome == consensus::Outcome::kBarrierPassed;
        is_barrier_running_ = false;
        std::ranges::for_each(asked, [&](auto& done) { done(passed); });
        if (!is_barrier_running_ && !barrier_waiting_.empty()) {
          BeginBarrier();
        }
      });
  Step(consensus::ReadBarrier{token});
}

template <typename Event>
void ReplicaDriver::Change(Event event, ResolvedDone done) {
  event.token = Expect(std::move(done));
  Step(std::move(event));
}

void ReplicaDriver::Form(ResolvedDone done) {
  Change(consensus::Bootstrap{}, std::move(done));
}

void ReplicaDriver::AddLearner(const consensus::Member& member,
                               ResolvedDone done) {
  Change(consensus::AddLearner{.member = member}, std::move(done));
}

void ReplicaDriver::Remove(const consensus::ReplicaId& id, ResolvedDone done) {
  Change(consensus::RemoveMember{.id = id}, std::move(done));
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
  timer->expires_after(kTransferPoll);
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

consensus::Token ReplicaDriver::Expect(ResolvedDone done) {
  last_token_ = last_token_.Next();
  expected_.emplace(last_token_, std::move(done));
  return last_token_;
}

// Effects may lead to further events; these wait until the effects of the
// event before are carried out.
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
    journal_->Add(*std::move(effects.persist));
  }
  std::ranges::for_each(effects.messages,
                        [this](auto& it) { state_.Send(it); });
  StateChange change;
  change.restore = std::move(effects.restore);
  change.committed = std::move(effects.committed);
  change.role_change = std::move(effects.role_change);
  change.resolved = std::move(effects.resolved);
  change.take_snapshot_at = effects.take_snapshot_at;
  changes_.push_back(std::move(change));
  if (!is_applying_) {
    is_applying_ = true;
    ApplyChanges();
  }
}

// Goes through the changes in order; puts the rest off where they are many.
void ReplicaDriver::ApplyChanges() {
  size_t bytes_left = kBytesAtOnce;
  while (!changes_.empty() && !is_closed_) {
    if (!ApplyRecords(changes_.front(), bytes_left)) {
      boost::asio::post(control_,
                        [self = shared_from_this()] { self->ApplyChanges(); });
      return;
    }
    StateChange change = std::move(changes_.front());
    changes_.pop_front();
    Finish(std::move(change));
  }
  is_applying_ = false;
}

// False where records are left.
bool ReplicaDriver::ApplyRecords(StateChange& change, size_t& bytes_left) {
  if (const auto restore = std::exchange(change.restore, std::nullopt)) {
    RestoreInstalled(*restore);
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

void ReplicaDriver::Finish(StateChange change) {
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
  return replica_->HasCommittedInTerm() && changes_.empty();
}

void ReplicaDriver::RestoreInstalled(const consensus::Snapshot& snapshot) {
  std::string why;
  if (!state_.Restore(*snapshot.bytes, why)) {
    Log(LogLevel::kError, "snapshot: " + why);
    std::_Exit(kExitStorageFailed);
  }
}

void ReplicaDriver::Resolve(const consensus::Resolved& resolved) {
  const auto node = expected_.extract(resolved.token);
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
