// The simulated network and disks and the reference log of Cluster.

#include "cluster.h"

#include <algorithm>
#include <ranges>

#include "wire/codec.h"

namespace sassafras::consensus {

namespace {

// Applies a persist request to a simulated data folder.
void ApplyToDisk(const PersistRequest& request, Recovered& disk) {
  if (request.hard_state) {
    disk.hard_state = *request.hard_state;
  }
  if (request.truncate_from) {
    std::erase_if(disk.records, [&](const Record& it) {
      return it.index >= *request.truncate_from;
    });
  }
  if (request.snapshot) {
    disk.snapshot = request.snapshot;
    std::erase_if(disk.records, [&](const Record& it) {
      return it.index <= request.snapshot->meta.index;
    });
  }
  disk.records.insert(disk.records.end(), request.records.begin(),
                      request.records.end());
}

std::string JoinLines(const std::vector<std::string>& commands) {
  std::string out;
  for (const auto& it : commands) {
    out += it + '\n';
  }
  return out;
}

std::vector<std::string> SplitLines(const std::string& bytes) {
  std::vector<std::string> out;
  for (size_t from = 0; from < bytes.size();) {
    const size_t end = bytes.find('\n', from);
    out.push_back(bytes.substr(from, end - from));
    from = end + 1;
  }
  return out;
}

}  // namespace

Cluster::Cluster(size_t n, uint64_t seed) : random(seed) {
  options.election_timeout = 100 * kStep;
  options.heartbeat = 20 * kStep;
  options.resend_timeout = 40 * kStep;
  options.max_append_records = 4;
  options.max_appends_in_flight = 3;
  options.snapshot_chunk_bytes = 64;
  options.snapshot_after_records = 25;
  options.retained_records = 8;
  options.promotion_lag_records = 4;
  for (size_t i = 0; i < n; ++i) {
    AddHost();
  }
}

size_t Cluster::AddHost() {
  Host host;
  host.disk.id = ReplicaId(random.HexId());
  hosts_.push_back(std::move(host));
  Start(hosts_.size() - 1);
  return hosts_.size() - 1;
}

void Cluster::Start(size_t i) {
  Host& host = hosts_[i];
  if (host.replica) {
    return;
  }
  Options replica_options = options;
  replica_options.name = wire::EntryId("entry-" + std::to_string(i));
  host.applied.clear();
  if (host.disk.snapshot) {
    host.applied = SplitLines(*host.disk.snapshot->bytes);
  }
  ConsensusReason why;
  host.replica = Replica::Create(replica_options, host.disk,
                                 random.Below(1'000'000), Time(), why);
  if (!host.replica) {
    RecordViolation("recovery: " + why.message);
  }
}

void Cluster::Crash(size_t i) {
  Host& host = hosts_[i];
  host.replica.reset();
  host.frozen_until = 0;
  // A prefix of the unsynced requests may have reached the disk.
  const uint64_t kept = random.Below(host.unsynced.size() + 1);
  for (uint64_t n = 0; n < kept; ++n) {
    ApplyToDisk(host.unsynced[n], host.disk);
  }
  host.unsynced.clear();
  host.syncing = 0;
}

void Cluster::LoseDisk(size_t i) {
  Crash(i);
  hosts_[i].disk = Recovered();
  hosts_[i].disk.id = ReplicaId(random.HexId());
  Start(i);
}

void Cluster::SetLinkBlocked(size_t from, size_t to, bool is_blocked) {
  if (is_blocked) {
    blocked_links_.emplace(from, to);
  } else {
    blocked_links_.erase({from, to});
  }
}

void Cluster::Isolate(size_t i, bool is_isolated) {
  for (size_t j = 0; j < hosts_.size(); ++j) {
    SetLinkBlocked(i, j, is_isolated);
    SetLinkBlocked(j, i, is_isolated);
  }
}

void Cluster::Heal() {
  blocked_links_.clear();
  faults = Faults();
  for (size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].frozen_until = 0;
    Start(i);
  }
}

// --- time, network and disks ---

void Cluster::Run(uint64_t steps) {
  for (uint64_t n = 0; n < steps; ++n) {
    ++now_;
    Deliver();
    SyncAll();
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      if (host.replica && host.frozen_until <= now_ &&
          host.replica->NextDeadline() <= Time()) {
        Step(i, Tick{});
      }
    }
  }
}

void Cluster::SendMessage(size_t from, const Message& message) {
  const uint64_t copies = random.Below(100) < faults.loss_percent        ? 0
                          : random.Below(100) < faults.duplicate_percent ? 2
                                                                         : 1;
  for (uint64_t n = 0; n < copies; ++n) {
    const uint64_t at = now_ + 1 + random.Below(faults.max_delay_steps + 1);
    network_.emplace(at, Delivery{message, from});
  }
}

void Cluster::Deliver() {
  while (!network_.empty() && network_.begin()->first <= now_) {
    const Delivery it = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    const auto to = FindHost(it.message.to.id);
    if (!to || blocked_links_.contains({it.from, *to}) || !IsUp(*to)) {
      continue;
    }
    if (hosts_[*to].frozen_until > now_) {
      network_.emplace(hosts_[*to].frozen_until, it);
      continue;
    }
    Step(*to, Receive{it.message});
  }
}

// Group commit: a sync writes all requests issued so far.
void Cluster::BeginSync(Host& host) {
  const uint64_t spread = faults.max_sync_steps - faults.min_sync_steps;
  host.syncing = host.unsynced.size();
  host.sync_at = now_ + 1 + faults.min_sync_steps + random.Below(spread + 1);
}

void Cluster::SyncAll() {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    const bool is_due = host.replica && host.syncing > 0 &&
                        host.sync_at <= now_ && host.frozen_until <= now_;
    if (!is_due) {
      continue;
    }
    if (!faults.is_late_request_delayed) {
      host.syncing = host.unsynced.size();
    }
    Sequence last;
    for (; host.syncing > 0; --host.syncing) {
      ApplyToDisk(host.unsynced.front(), host.disk);
      last = host.unsynced.front().sequence;
      host.unsynced.pop_front();
    }
    if (!host.unsynced.empty()) {
      BeginSync(host);
    }
    Step(i, Synced{last});
  }
}

Effects Cluster::Step(size_t i, const Event& event) {
  Effects effects = hosts_[i].replica->Step(Time(), event);
  HandleEffects(i, effects);
  return effects;
}

void Cluster::HandleEffects(size_t i, const Effects& effects) {
  Host& host = hosts_[i];
  if (effects.persist) {
    host.unsynced.push_back(*effects.persist);
    if (host.syncing == 0) {
      BeginSync(host);
    }
  }
  for (const auto& message : effects.messages) {
    SendMessage(i, message);
  }
  if (effects.restore) {
    host.applied = SplitLines(*effects.restore->bytes);
  }
  for (const auto& record : effects.committed) {
    Apply(host, record);
  }
  std::ranges::for_each(effects.resolved,
                        [this](const auto& it) { OnResolved(it); });
  if (effects.role_change && effects.role_change->role == Role::kLeader) {
    const auto [it, is_new] =
        leader_by_term_.emplace(effects.role_change->term, host.disk.id);
    if (!is_new && it->second != host.disk.id) {
      RecordViolation("two leaders were elected in one term");
    }
    elected_at_.emplace(effects.role_change->term, Time());
  }
  CheckLeadership(*host.replica);
  if (effects.take_snapshot_at) {
    Step(i, SnapshotTaken{
                *effects.take_snapshot_at,
                std::make_shared<const std::string>(JoinLines(host.applied))});
  }
}

// A leader may not know yet that a later one was elected, but must not claim to
// have led since then.
void Cluster::CheckLeadership(const Replica& replica) {
  const auto confirmed = replica.LeadershipConfirmedAt();
  const auto later = elected_at_.upper_bound(replica.GetTerm());
  if (confirmed && later != elected_at_.end() && *confirmed > later->second) {
    RecordViolation("leadership was confirmed after a later election");
  }
}

// --- reference log ---

void Cluster::Apply(Host& host, const Record& record) {
  const auto [it, is_new] = applied_log_.emplace(record.index.value(), record);
  if (!is_new && it->second != record) {
    RecordViolation("different records were applied at index " +
                    std::to_string(record.index.value()));
  }
  if (record.kind == RecordKind::kCommand) {
    host.applied.push_back(record.payload);
    if (not_run_commands_.contains(record.payload)) {
      RecordViolation("a command that was reported as not run was applied");
    }
  }
}

void Cluster::OnResolved(const Resolved& resolved) {
  const auto it = requests_.find(resolved.token);
  if (it == requests_.end()) {
    return;
  }
  Request& request = it->second;
  if (request.result) {
    RecordViolation("a token was resolved twice");
  }
  request.result = resolved;
  const uint64_t index = resolved.index.value();
  if (resolved.outcome == Outcome::kBarrierPassed &&
      index < request.applied_at_start) {
    RecordViolation("a read barrier passed on a stale replica");
  }
  if (resolved.outcome == Outcome::kCommitted && !request.command.empty()) {
    acknowledged_[index] = request.command;
    const auto record = applied_log_.find(index);
    if (record == applied_log_.end() ||
        record->second.payload != request.command) {
      RecordViolation("an acknowledged command is not in the log");
    }
  }
  if (resolved.outcome == Outcome::kNotRun && !request.command.empty()) {
    not_run_commands_.insert(request.command);
  }
}

Token Cluster::ProposeCommand(size_t i, const std::string& command) {
  const Token token(next_token_++);
  requests_[token].command = command;
  Step(i, Propose{token, command});
  return token;
}

Token Cluster::StartReadBarrier(size_t i) {
  const Token token(next_token_++);
  requests_[token].applied_at_start =
      applied_log_.empty() ? 0 : applied_log_.rbegin()->first;
  Step(i, ReadBarrier{token});
  return token;
}

std::optional<Resolved> Cluster::ResultOf(Token token) const {
  const auto it = requests_.find(token);
  return it == requests_.end() ? std::nullopt : it->second.result;
}

void Cluster::RecordViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ = what;
  }
}

// --- membership ---

void Cluster::ReconcileMembership() {
  const auto leader = Leader();
  if (!leader) {
    return;
  }
  const Membership membership = hosts_[*leader].replica->GetMembership();
  const Token token(next_token_++);
  for (const auto* list : {&membership.voters, &membership.learners}) {
    for (const Member& member : *list) {
      if (!FindHost(member.id)) {
        Step(*leader, RemoveMember{token, member.id});
        return;
      }
    }
  }
  for (const Host& host : hosts_) {
    if (host.replica && membership.Find(host.disk.id) == nullptr) {
      Step(*leader, AddLearner{token, host.replica->Self()});
      return;
    }
  }
}

std::optional<size_t> Cluster::FindHost(const ReplicaId& id) const {
  const auto it = std::ranges::find_if(
      hosts_, [&](const Host& host) { return host.disk.id == id; });
  return it == hosts_.end() ? std::nullopt
                            : std::optional<size_t>(it - hosts_.begin());
}

std::optional<size_t> Cluster::Leader() const {
  std::optional<size_t> best;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const auto& replica = hosts_[i].replica;
    const bool is_leader = replica && replica->GetRole() == Role::kLeader;
    if (is_leader &&
        (!best || replica->GetTerm() > hosts_[*best].replica->GetTerm())) {
      best = i;
    }
  }
  return best;
}

Membership Cluster::CommittedMembership() const {
  for (const Record& record :
       applied_log_ | std::views::values | std::views::reverse) {
    wire::CodecReason why;
    if (record.kind == RecordKind::kMembership) {
      return wire::DecodeCbor<Membership>(record.payload, why)
          .value_or(Membership());
    }
  }
  return Membership();
}

bool Cluster::HasConverged() const {
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  const Replica& first = *hosts_[*leader].replica;
  const bool has_all = first.GetMembership().voters.size() == hosts_.size() &&
                       first.GetMembership().learners.empty();
  return has_all && std::ranges::all_of(hosts_, [&](const Host& host) {
           return host.replica && first.GetMembership().IsVoter(host.disk.id) &&
                  host.replica->CommitIndex() == first.LastIndex() &&
                  host.applied == hosts_[*leader].applied;
         });
}

}  // namespace sassafras::consensus
