// Read-only queries of the replicated state and the leader term.

#ifndef CONTROL_SRC_REPORTS_H_
#define CONTROL_SRC_REPORTS_H_

#include <nlohmann/json.hpp>

#include "consensus/replica.h"
#include "wire/control.h"

namespace sassafras::control {

class LeaderTerm;

// Returns {name, id, role, is_leader, match} of each member of the committed
// membership, for the report "cluster". `replica` must lead: elsewhere every
// `match` is 0.
nlohmann::json ReportReplicas(const consensus::Replica& replica);

// Answers a query. `body` is {kind, name, owner, is_platform}: the kind of
// query, the name of the object, and the owner and role of the reader. A
// reader that is not the platform sees only objects of its own owner; others
// are reported as not found or left out of lists. Kinds: document, section,
// change, job, admission, workers, upstreams, services, jobs, owners, cluster.
// An unknown kind is refused.
//
// The answer is {found: false} or {found: true, value}.
wire::ControlReply AnswerQuery(const LeaderTerm& term,
                               const nlohmann::json& body);

}  // namespace sassafras::control

#endif  // CONTROL_SRC_REPORTS_H_
