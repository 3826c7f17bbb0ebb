// Cluster membership decisions.

#include "jobcontrol/membership.h"

#include <algorithm>
#include <ranges>

namespace sassafras::jobcontrol {
namespace {

constexpr size_t kMinRemainingVoters = 3;

}  // namespace

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

std::optional<consensus::ReplicaId> FindLostVoter(
    const consensus::Membership& members,
    const consensus::ReplicaId& self,
    const std::map<wire::EntryId, base::Instant>& last_seen,
    base::Instant now,
    base::Duration timeout) {
  const auto is_reachable = [&](const consensus::Member& member) {
    const auto it = last_seen.find(member.name);
    return member.id == self ||
           (it != last_seen.end() && now - it->second <= timeout);
  };
  const size_t remaining = members.voters.size() - 1;
  const auto reachable =
      static_cast<size_t>(std::ranges::count_if(members.voters, is_reachable));
  if (remaining < kMinRemainingVoters || reachable <= remaining / 2) {
    return std::nullopt;
  }
  const auto it = std::ranges::find_if_not(members.voters, is_reachable);
  return it == members.voters.end() ? std::nullopt : std::optional(it->id);
}

}  // namespace sassafras::jobcontrol
