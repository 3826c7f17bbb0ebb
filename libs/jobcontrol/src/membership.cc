// Decisions about who belongs to the cluster.

#include "jobcontrol/membership.h"

#include <algorithm>
#include <ranges>

namespace sassafras::jobcontrol {
namespace {

constexpr size_t kFewestVoters = 3;

}  // namespace

bool IsFounder(const settings::Endpoint& self,
               const settings::ClusterSettings& cluster,
               bool has_state) {
  if (has_state || !cluster.is_first_start || cluster.seeds.empty()) {
    return false;
  }
  const auto lowest =
      std::ranges::min_element(cluster.seeds, {}, &settings::Endpoint::address);
  return lowest->address == self.address;
}

JoinStep DecideJoin(const consensus::Membership& members,
                    const consensus::Member& candidate) {
  if (members.Find(candidate.id) != nullptr) {
    return Welcome{};
  }
  const consensus::Member* old = members.FindByName(candidate.name);
  if (old != nullptr) {
    return RemoveMember{old->id};
  }
  return AddMember{candidate};
}

std::optional<consensus::ReplicaId> FindAbandoned(
    const consensus::Membership& members,
    const consensus::ReplicaId& self,
    const std::map<wire::EntryId, base::Instant>& last_heard,
    base::Instant now,
    base::Duration limit) {
  const auto is_heard = [&](const consensus::Member& member) {
    const auto it = last_heard.find(member.name);
    return member.id == self ||
           (it != last_heard.end() && now - it->second <= limit);
  };
  const size_t rest = members.voters.size() - 1;
  const auto heard =
      static_cast<size_t>(std::ranges::count_if(members.voters, is_heard));
  if (rest < kFewestVoters || heard <= rest / 2) {
    return std::nullopt;
  }
  const auto it = std::ranges::find_if_not(members.voters, is_heard);
  return it == members.voters.end() ? std::nullopt : std::optional(it->id);
}

}  // namespace sassafras::jobcontrol
