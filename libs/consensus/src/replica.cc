// Checks the options and forwards the public interface to Replica::Core.

#include "consensus/replica.h"

#include <utility>

#include "core.h"

namespace sassafras::consensus {

namespace {

bool CheckOptions(const Options& options, ConsensusReason& why) {
  if (options.heartbeat <= base::Duration::zero() ||
      options.election_timeout < 3 * options.heartbeat) {
    return why.Set(
        ConsensusError::kBadOptions,
        "election_timeout must be at least 3 heartbeats, and heartbeat must be "
        "positive");
  }
  const bool has_zero =
      options.max_append_records == 0 || options.max_append_bytes == 0 ||
      options.max_appends_in_flight == 0 || options.snapshot_chunk_bytes == 0 ||
      options.snapshot_after_records == 0 || options.snapshot_after_bytes == 0;
  if (has_zero) {
    return why.Set(ConsensusError::kBadOptions,
                   "max_append_records, max_append_bytes, "
                   "max_appends_in_flight, snapshot_chunk_bytes, "
                   "snapshot_after_records and snapshot_after_bytes must be "
                   "above 0");
  }
  return true;
}

}  // namespace

std::optional<Replica> Replica::Create(const Options& options,
                                       Recovered durable,
                                       uint64_t seed,
                                       base::Instant now,
                                       ConsensusReason& why) {
  if (!CheckOptions(options, why)) {
    return std::nullopt;
  }
  if (durable.id.empty()) {
    why.Set(ConsensusError::kBadOptions,
            "the recovered state has no replica id");
    return std::nullopt;
  }
  auto core = std::make_unique<Core>(options, durable.id, seed, now);
  if (!core->Recover(std::move(durable), why)) {
    return std::nullopt;
  }
  return Replica(std::move(core));
}

Replica::Replica(std::unique_ptr<Core> core) : core_(std::move(core)) {}
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;
Replica::~Replica() = default;

Effects Replica::Step(base::Instant now, const Event& event) {
  return core_->Step(now, event);
}

base::Instant Replica::NextDeadline() const {
  return core_->NextDeadline();
}

const Member& Replica::Self() const {
  return core_->Self();
}

Role Replica::GetRole() const {
  return core_->GetRole();
}

Term Replica::GetTerm() const {
  return core_->GetTerm();
}

const Member& Replica::Leader() const {
  return core_->Leader();
}

const Membership& Replica::GetMembership() const {
  return core_->GetMembership();
}

const Membership& Replica::CommittedMembership() const {
  return core_->CommittedMembership();
}

Index Replica::CommitIndex() const {
  return core_->CommitIndex();
}

Index Replica::LastIndex() const {
  return core_->LastIndex();
}

Index Replica::SnapshotIndex() const {
  return core_->SnapshotIndex();
}

std::optional<Index> Replica::MatchOf(const ReplicaId& id) const {
  return core_->MatchOf(id);
}

std::optional<base::Instant> Replica::LeadershipConfirmedAt() const {
  return core_->LeadershipConfirmedAt();
}

std::map<ReplicaId, base::Instant> Replica::Contacts() const {
  return core_->Contacts();
}

size_t Replica::CountReadyLearners() const {
  return core_->CountReadyLearners();
}

const std::set<ReplicaId>& Replica::Votes() const {
  return core_->Votes();
}

bool Replica::HasCommittedInTerm() const {
  return core_->HasCommittedInTerm();
}

}  // namespace sassafras::consensus
