// Cluster membership decisions that need no operator: which host bootstraps the
// cluster, how a new replica joins, and which lost voter is removed.

#ifndef JOBCONTROL_MEMBERSHIP_H_
#define JOBCONTROL_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <span>
#include <variant>

#include "base/time.h"
#include "consensus/types.h"
#include "settings/settings.h"
#include "wire/ids.h"

namespace sassafras::jobcontrol {

// Whether the process at `self` bootstraps the cluster. Only the seed with the
// lowest address does, and only at the first start of the cluster, when all
// processes have the same seeds. A replica with stored state never does.
bool ShouldBootstrap(const settings::Endpoint& self,
                     const settings::ClusterSettings& cluster,
                     bool has_state);

// The leader's response to a join request.
struct AlreadyMember {};  // no change is needed
struct AddMember {
  consensus::Member member;
};
struct RemoveMember {
  consensus::ReplicaId id;
};
using JoinAction = std::variant<AlreadyMember, AddMember, RemoveMember>;

// Decides how to handle a join request. A candidate with a known name but a new
// identity has lost its disk: the old identity is removed first, so that it
// never counts towards a quorum again.
JoinAction DecideJoin(const consensus::Membership& members,
                      const consensus::Member& candidate);

// Returns a voter that was silent for longer than `timeout` and is presumed
// permanently lost. Returns nullopt if there is none, if fewer than three
// voters would remain (so that no other host has taken its place yet), or if no
// majority of the remaining voters is reachable.
std::optional<consensus::ReplicaId> FindLostVoter(
    const consensus::Membership& members,
    const consensus::ReplicaId& self,
    const std::map<wire::EntryId, base::Instant>& last_seen,
    base::Instant now,
    base::Duration timeout);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MEMBERSHIP_H_
