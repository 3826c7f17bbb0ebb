// Input events of a Dispatcher. Events refer to requests and tries by id; the
// service around the dispatcher keeps request bodies and answer bytes.

#ifndef ROUTING_EVENTS_H_
#define ROUTING_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "wire/commands.h"
#include "wire/ids.h"
#include "wire/job.h"
#include "wire/routing.h"

namespace sassafras::routing {

// Assigned by the service and never reused within an incarnation.
using RequestId = base::Number<struct RequestTag>;
// Assigned by the dispatcher, one for each try of a request at an upstream.
using TryId = base::Number<struct TryTag>;

// A request arrived from a caller or was forwarded by another entry.
struct RequestArrived {
  RequestId request;
  wire::OwnerId owner;
  wire::ServiceId service;
  wire::Priority priority = wire::Priority::kNormal;
  base::Instant deadline;
  bool is_idempotent = true;
  wire::RequestKey key;              // empty if the caller sent none
  std::string digest;                // SHA-256 of method, target and body
  bool is_from_other_entry = false;  // forwarded by another entry
  // The caller declares that it sends this key for the first time. Without that
  // declaration an earlier sending may have run, so `not-run` is returned only
  // after the admission log was read.
  bool is_first_sending = false;
};

// Another entry asks for the outcome of a key that this incarnation admitted.
// A Respond effect for `request` answers it, at the latest at its deadline.
struct OutcomeQueried {
  RequestId request;
  wire::OwnerId owner;
  wire::RequestKey key;
  base::Instant deadline;
};

enum class AdmitOutcome {
  kAdmitted,  // committed for this entry and incarnation
  kAttached,  // open under another entry or incarnation, given in `holder`
  kStored,    // already closed with the state in `stored_state`
  kNone,      // only for ReadAdmission: never admitted, or closed as not run
  kConflict,  // the key belongs to a request with a different digest
  kFull,      // the owner is at its admission limit; the key isn't admitted
  kNotRun,    // certainly not proposed because there is no quorum
  kUnknown,   // proposed, but whether it was committed is unknown
  kStale      // the cluster has ended this entry's incarnation
};

// Result of ProposeAdmit or ReadAdmission.
struct AdmitResolved {
  RequestId request;
  AdmitOutcome outcome = AdmitOutcome::kUnknown;
  wire::EntryId holder;
  wire::Incarnation holder_incarnation;
  wire::AdmissionState stored_state = wire::AdmissionState::kUnknown;
  uint32_t stored_status = 0;  // HTTP status if completed
};

enum class CloseOutcome { kCommitted, kNotCommitted, kUnknown, kStale };

// Result of ProposeClose.
struct CloseResolved {
  RequestId request;
  CloseOutcome outcome = CloseOutcome::kUnknown;
};

// The upstream's complete answer was received.
struct UpstreamFinished {
  RequestId request;
  TryId try_id;
  uint32_t status = 200;  // HTTP status
};

enum class UpstreamFailure { kConnect, kBrokenOff, kTimeout };

struct UpstreamFailed {
  RequestId request;
  TryId try_id;
  bool any_byte_sent = false;
  UpstreamFailure failure = UpstreamFailure::kConnect;
};

enum class RelayOutcome {
  kCompleted,  // the service holds the other entry's complete answer
  kNotRun,     // the other entry refused the request
  kUnknown,    // the other entry answered `unknown`
  kNotKnown,   // only for QueryOutcome: the entry has no such key in progress
  kStreamFailed,  // the stream failed or was never established
  kNotSent        // certainly nothing reached the other entry
};

// Result of ForwardTo or QueryOutcome.
struct RelayResolved {
  RequestId request;
  RelayOutcome outcome = RelayOutcome::kStreamFailed;
  uint32_t status = 0;  // HTTP status if completed
};

// The leader answered a renewal that was sent at `sent_at`.
struct RoutesUpdated {
  wire::EntryAnswer answer;
  base::Instant sent_at;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestId request;
};

struct ServicePolicy {
  wire::ServiceId service;
  uint32_t max_queue = 1000;  // maximum queued requests of one owner
  base::Duration timeout = std::chrono::seconds(30);  // time limit of one try
  double retry_share = 0.1;  // retry tokens added per success, in [0, 1]
  // How long the answer of a completed admission is stored.
  base::Duration answer_retention = std::chrono::minutes(10);
};

struct OwnerWeight {
  wire::OwnerId owner;
  uint32_t weight = 1;  // at least 1
};

// Replaces the whole policy. Services and owners that aren't listed get the
// defaults above.
struct PolicyUpdated {
  wire::Version version;
  std::vector<ServicePolicy> services;
  std::vector<OwnerWeight> owners;
};

// The cluster ended this entry's incarnation because its session expired. The
// entry continues under a new incarnation and has no grants until the next
// RoutesUpdated.
struct IncarnationReplaced {
  wire::Incarnation incarnation;
};

// The process is about to stop. The entry keeps serving requests and returns
// its grants with the first renewal that is built while it is idle.
struct Drain {};

// Time has passed: handles everything that is due.
struct Tick {};

using Event = std::variant<RequestArrived,
                           OutcomeQueried,
                           AdmitResolved,
                           CloseResolved,
                           UpstreamFinished,
                           UpstreamFailed,
                           RelayResolved,
                           RoutesUpdated,
                           CallerDisconnected,
                           PolicyUpdated,
                           IncarnationReplaced,
                           Drain,
                           Tick>;

}  // namespace sassafras::routing

#endif  // ROUTING_EVENTS_H_
