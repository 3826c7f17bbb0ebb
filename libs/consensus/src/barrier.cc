// Heartbeat rounds: a quorum that has replied to a round followed this leader
// when the round began. A read barrier resolves with a round that began after
// it was requested.

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

// Barriers are in the order of their requests, so those of a round that is not
// confirmed yet come first.
void Replica::Core::StartBarrierRound() {
  const bool is_round_open = !barriers_.empty() && barriers_.front().round != 0;
  if (HasCommittedInTerm() && !barriers_.empty() && !is_round_open) {
    StartRound();
  }
}

// One round covers all barriers that were requested before it began.
void Replica::Core::StartRound() {
  ++last_round_;
  open_rounds_.push_back({last_round_, now_});
  // The leader does not know which records earlier leaders committed until it
  // has committed a record of its own term.
  if (HasCommittedInTerm()) {
    const auto is_unassigned = [](const Barrier& it) { return it.round == 0; };
    for (Barrier& it : barriers_ | std::views::filter(is_unassigned)) {
      it.round = last_round_;
    }
  }
  BroadcastHeartbeat();
}

uint64_t Replica::Core::QuorumRound() const {
  const Membership& membership = memberships_.Latest();
  std::vector<uint64_t> rounds;
  for (const Member& voter : membership.voters) {
    const auto it = peers_.find(voter.id);
    const uint64_t round = it == peers_.end() ? 0 : it->second.round;
    rounds.push_back(voter.id == self_.id ? last_round_ : round);
  }
  std::ranges::sort(rounds, std::greater<>());
  return rounds.empty() ? 0 : rounds[membership.Quorum() - 1];
}

void Replica::Core::ConfirmRounds() {
  confirmed_round_ = std::max(confirmed_round_, QuorumRound());
  while (!open_rounds_.empty() &&
         open_rounds_.front().number <= confirmed_round_) {
    leadership_confirmed_at_ = open_rounds_.front().begin;
    open_rounds_.pop_front();
  }
  while (!barriers_.empty() && barriers_.front().round != 0 &&
         barriers_.front().round <= confirmed_round_) {
    Resolve(barriers_.front().token, Outcome::kBarrierPassed, commit_index_);
    barriers_.pop_front();
  }
}

}  // namespace sassafras::consensus
