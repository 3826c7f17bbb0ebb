// Read barriers: a barrier resolves once a quorum has confirmed the leader in a
// heartbeat round that began after the barrier was requested.

#include <algorithm>
#include <functional>
#include <ranges>
#include <vector>

#include "core.h"

namespace sassafras::consensus {

bool Replica::Core::HasCommittedInTerm() const {
  return IsLeader() && commit_index_ >= term_start_index_;
}

void Replica::Core::On(const ReadBarrier& event) {
  if (!IsLeader()) {
    Reject(event.token, ConsensusError::kNotLeader,
           "replica \"" + self_.name.str() + "\" is not the leader");
    return;
  }
  barriers_.push_back({0, event.token});
}

// One round covers all barriers that were requested before it began.
void Replica::Core::StartBarrierRound() {
  const auto is_unassigned = [](const Barrier& it) { return it.round == 0; };
  // The leader does not know which records earlier leaders committed until it
  // has committed a record of its own term.
  if (!HasCommittedInTerm() || std::ranges::none_of(barriers_, is_unassigned)) {
    return;
  }
  ++barrier_round_;
  for (Barrier& it : barriers_ | std::views::filter(is_unassigned)) {
    it.round = barrier_round_;
  }
  BroadcastHeartbeat();
}

uint64_t Replica::Core::QuorumRound() const {
  const Membership& membership = memberships_.Latest();
  std::vector<uint64_t> rounds;
  for (const Member& voter : membership.voters) {
    const auto it = peers_.find(voter.id);
    const uint64_t round = it == peers_.end() ? 0 : it->second.round;
    rounds.push_back(voter.id == self_.id ? barrier_round_ : round);
  }
  std::ranges::sort(rounds, std::greater<>());
  return rounds.empty() ? 0 : rounds[membership.Quorum() - 1];
}

void Replica::Core::ResolveBarriers() {
  confirmed_round_ = std::max(confirmed_round_, QuorumRound());
  while (!barriers_.empty() && barriers_.front().round != 0 &&
         barriers_.front().round <= confirmed_round_) {
    Resolve(barriers_.front().token, Outcome::kBarrierPassed, commit_index_);
    barriers_.pop_front();
  }
}

}  // namespace sassafras::consensus
