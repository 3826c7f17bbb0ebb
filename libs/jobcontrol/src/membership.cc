// Cluster membership decisions.

#include "jobcontrol/membership.h"

#include <algorithm>
#include <ranges>

namespace sassafras::jobcontrol {
namespace {

// A smaller group doesn't bear the loss of any host.
constexpr size_t kSmallestGroup = 3;

bool IsSilent(const GroupView& group,
              const consensus::Member& member,
              base::Duration limit,
              base::Instant now) {
  const auto it = group.contacts.find(member.id);
  const bool has_replied =
      it != group.contacts.end() && now - it->second <= limit;
  return member.id != group.self && !has_replied;
}

LossAction DecideLossOfLearner(const GroupView& group,
                               const GroupPolicy& policy,
                               base::Instant now) {
  const auto& learners = group.members.learners;
  const auto lost =
      std::ranges::find_if(learners, [&](const consensus::Member& member) {
        return IsSilent(group, member, policy.max_learner_silence, now);
      });
  return lost == learners.end() ? LossAction(KeepMembers{})
                                : LossAction(RemoveMember{lost->id});
}

}  // namespace

size_t GroupPolicy::Voters() const {
  return std::max(kSmallestGroup, 2 * tolerated_losses + 1);
}

bool ShouldBootstrap(const settings::Endpoint& self,
                     const settings::ClusterSettings& cluster,
                     bool has_state) {
  if (has_state || !cluster.is_first_start || cluster.seeds.empty()) {
    return false;
  }
  const auto lowest =
      std::ranges::min_element(cluster.seeds, {}, &settings::Endpoint::address);
  return lowest->address == self.address;
}

JoinAction DecideJoin(const consensus::Membership& members,
                      const consensus::Member& candidate) {
  if (members.Find(candidate.id) != nullptr) {
    return AlreadyMember{};
  }
  const consensus::Member* old = members.FindByName(candidate.name);
  if (old != nullptr) {
    return RemoveMember{old->id};
  }
  return AddMember{candidate};
}

GroupView GroupView::Of(const consensus::Replica& leader) {
  return {leader.GetMembership(),
          leader.Self().id,
          leader.Contacts(),
          leader.CountReadyLearners(),
          {}};
}

LossAction DecideLoss(const GroupView& group,
                      const GroupPolicy& policy,
                      base::Instant now) {
  const auto& voters = group.members.voters;
  const auto is_lost = [&](const consensus::Member& member) {
    return IsSilent(group, member, policy.max_silence, now) ||
           group.stopping.contains(member.id);
  };
  const auto lost = std::ranges::find_if(voters, is_lost);
  if (lost == voters.end()) {
    return DecideLossOfLearner(group, policy, now);
  }
  if (voters.size() <= policy.Voters()) {
    return group.ready_learners > 0 ? LossAction(PromoteSpare{})
                                    : LossAction(KeepMembers{});
  }
  const size_t remaining = voters.size() - 1;
  const auto sound = voters.size() - static_cast<size_t>(std::ranges::count_if(
                                         voters, is_lost));
  return sound > remaining / 2 ? LossAction(RemoveMember{lost->id})
                               : LossAction(KeepMembers{});
}

}  // namespace sassafras::jobcontrol
