// State that a dispatcher keeps for one request.

#ifndef ROUTING_SRC_REQUEST_H_
#define ROUTING_SRC_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "endpoint.h"
#include "fair_queue.h"
#include "routing/effects.h"
#include "routing/events.h"

namespace sassafras::routing {

// What the request is waiting for.
enum class Stage {
  kNew,
  kWaiting,           // a slot, in the queue
  kAdmitting,         // the commit of its admission, holding a slot
  kRunning,           // the answer of an upstream, holding a slot
  kClosing,           // the commit of its outcome
  kForwarded,         // the entry that it was forwarded to
  kQueryingEntry,     // the outcome from the entry that admitted its key
  kReadingAdmission,  // a read of the admission log
  kWatching           // another request of this entry under the same key
};

// A final answer that hasn't been sent yet.
struct Answer {
  Outcome outcome = Outcome::kUnknown;
  uint32_t status = 500;
  std::string code;
  std::string message;
  base::Duration retry_after{};
  AnswerSource source = AnswerSource::kNone;
  TryId answered_by;
};

struct Request {
  RequestArrived arrival;
  base::Instant arrived_at;
  Stage stage = Stage::kNew;
  bool is_answered = false;       // the caller was answered or has disconnected
  bool is_outcome_query = false;  // created by an OutcomeQueried event
  RequestId watched;              // set in stage kWatching
  std::vector<RequestId> watchers;
  base::Instant timer_at = base::Instant::max();

  // Queue.
  FairQueue::Ticket ticket;
  double cost = 0;  // slot time in seconds that the queue charged the owner

  // Tries. `upstream` is empty while no slot is held.
  TryId try_id;
  EndpointKey upstream;
  EndpointKey last_upstream;  // of the previous try; empty if there is none
  base::Instant slot_since;
  uint32_t tries = 0;
  bool may_have_run = false;  // a byte may have reached an upstream
  bool has_forwarded = false;
  bool may_run_elsewhere = false;  // a lost forward may still run
  wire::EntryId forwarded_to;      // empty if never forwarded
  bool was_queued = false;         // was taken from the queue to be forwarded

  // Admission. An admitted request ends only with a committed close.
  bool is_admitted = false;
  bool may_be_admitted = false;  // the result of a proposal is unknown
  wire::Incarnation admitted_under;
  uint32_t outcome_queries = 0;
  // When the proposal or log read of the current stage is retried.
  base::Instant stage_retry_at = base::Instant::max();
  // When the wait for a grant, proposal or log read times out.
  base::Instant stage_timeout_at = base::Instant::max();
  wire::AdmissionState close_outcome = wire::AdmissionState::kUnknown;
  // Sent after the close was committed or the log read succeeded.
  Answer pending_answer;

  bool NeedsAdmission() const { return !arrival.is_idempotent; }
  // True while the caller or a watcher waits for the answer.
  bool IsAwaited() const { return !is_answered || !watchers.empty(); }
  // True if `not-run` may be returned without reading the admission log,
  // because no earlier sending can have run.
  bool IsNotRunCertain() const {
    return arrival.is_idempotent || arrival.is_first_sending;
  }
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_REQUEST_H_
