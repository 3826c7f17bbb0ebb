// Converts the leader's replies to the results of callers' requests.

#ifndef JOBCONTROL_SRC_CALL_RESULT_H_
#define JOBCONTROL_SRC_CALL_RESULT_H_

#include <functional>
#include <string_view>

#include "jobcontrol/entry_node.h"
#include "wire/control.h"

namespace sassafras::jobcontrol {

using ReplyHandler = std::function<void(const wire::ControlReply&)>;

CallResult ResultOf(const wire::ControlReply& reply);
// Returns the name under which metrics show a denial by the leader, a literal.
std::string_view LeaderReasonOf(wire::Denial denial);

// Adapt `done` to replies whose body is a JobStatus or a number of jobs.
ReplyHandler ReplyWithJobStatus(CallDone done);
ReplyHandler ReplyWithCount(CallDone done);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_CALL_RESULT_H_
