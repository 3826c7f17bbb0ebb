// Effects that a Dispatcher asks the service around it to perform, in order.

#ifndef ROUTING_EFFECTS_H_
#define ROUTING_EFFECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "routing/events.h"
#include "wire/commands.h"
#include "wire/ids.h"

namespace sassafras::routing {

// Write the request to the upstream now, or report UpstreamFailed with
// `any_byte_sent` false. A non-idempotent request may reuse a connection only
// if that connection was just verified to be alive.
struct SendToUpstream {
  RequestId request;
  TryId try_id;
  wire::UpstreamId upstream;
  std::string address;
  uint16_t port = 0;
  uint32_t connections = 0;     // maximum open connections to the upstream
  base::Instant deadline;       // deadline of this try
  base::Instant session_until;  // no byte may be written from then on
  bool is_idempotent = true;
};

// Propose an Admit command for this entry and report AdmitResolved.
struct ProposeAdmit {
  RequestId request;
  wire::Incarnation incarnation;
  wire::OwnerId owner;
  wire::ServiceId service;
  wire::RequestKey key;
  std::string digest;
  base::Duration retention{};
};

// Read the admission of a key from the replicated log's state after a read
// barrier, without changing it, and report AdmitResolved.
struct ReadAdmission {
  RequestId request;
  wire::OwnerId owner;
  wire::RequestKey key;
  std::string digest;
};

// Propose a CloseAdmission command and report CloseResolved. For kCompleted the
// service adds the upstream's answer that it holds for the try `answered_by`.
struct ProposeClose {
  RequestId request;
  wire::Incarnation incarnation;  // the one that admitted the request
  wire::OwnerId owner;
  wire::RequestKey key;
  wire::AdmissionState outcome = wire::AdmissionState::kUnknown;
  TryId answered_by;
};

// Forward the request to another entry under its effective key, which this
// entry may have generated, and report RelayResolved. The other entry must not
// forward the request again.
struct ForwardTo {
  RequestId request;
  wire::EntryId entry;
  wire::RequestKey key;
  bool is_first_sending = false;
  base::Instant deadline;
};

// Ask the entry that admitted a key for its outcome and report RelayResolved.
struct QueryOutcome {
  RequestId request;
  wire::EntryId entry;
  wire::Incarnation incarnation;
  wire::OwnerId owner;
  wire::RequestKey key;
  base::Instant deadline;
};

enum class Outcome { kCompleted, kNotRun, kUnknown };

// Where the bytes of a completed answer come from. For all values except
// kShared the service kept the bytes under the request `shared_with` if that is
// set, and under the responding request otherwise.
enum class AnswerSource {
  kNone,      // no answer: the error body is built from code and message
  kUpstream,  // the upstream's answer to the try `answered_by`
  kStored,    // the stored answer that came with AdmitResolved
  kRelay,     // the answer that came with RelayResolved
  kShared     // the answer of `shared_with`, whose Respond effect comes first
};

// Send the final response. Emitted once for each RequestArrived and
// OutcomeQueried unless the caller disconnects first.
struct Respond {
  RequestId request;
  Outcome outcome = Outcome::kUnknown;
  uint32_t status = 500;  // HTTP status
  std::string code;       // code in the error body; empty if completed
  std::string message;
  base::Duration retry_after{};  // Retry-After header; zero for none
  AnswerSource source = AnswerSource::kNone;
  TryId answered_by;      // set for kUpstream
  RequestId shared_with;  // request with the same key whose answer is reused
  wire::RequestKey key;   // the effective key, possibly generated here
};

// The service may now free the answer and body that it keeps for a request.
struct Forget {
  RequestId request;
};

// Write one line to the decision log.
struct DecisionLog {
  std::string what;  // kind of decision: "dispatch", "forward", "refuse", ...
  RequestId request;
  wire::OwnerId owner;
  wire::ServiceId service;
  std::string choice;       // the chosen upstream or entry; empty if none
  uint32_t candidates = 0;  // number of options considered
  std::string why;          // reason for the decision
  base::Duration took{};    // time since the request arrived
  wire::Version document_version;
};

using Effect = std::variant<SendToUpstream,
                            ProposeAdmit,
                            ReadAdmission,
                            ProposeClose,
                            ForwardTo,
                            QueryOutcome,
                            Respond,
                            Forget,
                            DecisionLog>;
using Effects = std::vector<Effect>;

}  // namespace sassafras::routing

#endif  // ROUTING_EFFECTS_H_
