// Who belongs to the cluster, decided without an operator: who founds it, how
// an unknown replica gets in, and which member is given up.

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

// Whether the process at `self` makes the cluster: at the very first start
// only, when all processes have the same seeds, the seed with the lowest
// address. A replica that has a state never does.
bool ShouldBootstrap(const settings::Endpoint& self,
                     const settings::ClusterSettings& cluster,
                     bool has_state);

// What the leader does about a replica that asks to belong.
struct AlreadyMember {};  // it is a member
struct AddMember {
  consensus::Member member;
};
struct RemoveMember {
  consensus::ReplicaId id;
};
using JoinAction = std::variant<AlreadyMember, AddMember, RemoveMember>;

// A replica with another identity under the same name has lost its disk: the
// old identity is removed first, so that it never counts for a quorum again.
JoinAction DecideJoin(const consensus::Membership& members,
                      const consensus::Member& candidate);

// A voter that is gone for good, whose seat others hold by now: it was not
// heard for `limit`, and at least three voters stay, a majority of them heard.
std::optional<consensus::ReplicaId> FindLostVoter(
    const consensus::Membership& members,
    const consensus::ReplicaId& self,
    const std::map<wire::EntryId, base::Instant>& last_seen,
    base::Instant now,
    base::Duration timeout);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MEMBERSHIP_H_
