// Commands of the replicated state machine. Each is one log record: a CBOR
// object with the field "kind" and the fields of one struct below. Every
// command is checked again when it is applied, so that a command that lost a
// race changes nothing and its result says why.

#ifndef WIRE_COMMANDS_H_
#define WIRE_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "wire/codec.h"
#include "wire/ids.h"
#include "wire/job.h"
#include "wire/worker.h"

namespace sassafras::wire {

// --- document ---

// Replaces one section. `base` is the section's version the editor saw
// (0: creates it). `editor` is set by the server from the bearer token.
// `sets_platform` and `owner` come from the token as well.
struct PutSection {
  SectionId section;
  std::string text;
  Version base;
  ChangeId change;
  OwnerId editor_owner;
  std::string editor;
  bool is_platform = false;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PutSection,
                                                section,
                                                text,
                                                base,
                                                change,
                                                editor_owner,
                                                editor,
                                                is_platform,
                                                at_ms)

// --- entries ---

// A run of an entry process begins. Ends every earlier incarnation of it.
struct BeginEntry {
  EntryId entry;
  Incarnation incarnation;
  ZoneId zone;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginEntry,
                                                entry,
                                                incarnation,
                                                zone,
                                                at_ms)

// The entry's session has run out: its open admissions become unknown.
struct EndEntry {
  EntryId entry;
  Incarnation incarnation;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndEntry,
                                                entry,
                                                incarnation,
                                                at_ms)

// --- admissions of non-idempotent requests ---

enum class AdmissionState { kOpen, kCompleted, kNotRun, kUnknown };
NLOHMANN_JSON_SERIALIZE_ENUM(AdmissionState,
                             {{AdmissionState::kOpen, "open"},
                              {AdmissionState::kCompleted, "completed"},
                              {AdmissionState::kNotRun, "not-run"},
                              {AdmissionState::kUnknown, "unknown"}})

// The answer of an upstream, kept so that a resend gets the same one.
struct StoredAnswer {
  uint32_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  nlohmann::json::binary_t body;
  bool is_body_kept = true;  // false: larger than the retention's limit
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoredAnswer,
                                                status,
                                                headers,
                                                body,
                                                is_body_kept)

// Before the first byte goes to an upstream. Repeating it under the same key,
// entry and incarnation is idempotent. A key closed as not run may be
// admitted again. `digest` tells apart two requests under one key (SHA-256 of
// method, target and body): a mismatch is refused.
struct Admit {
  RequestKey key;
  OwnerId owner;
  ServiceId service;
  std::string digest;
  EntryId entry;
  Incarnation incarnation;
  // Of the request at its entry; grows within an incarnation. 0: not told.
  uint64_t serial = 0;
  base::WallMs at_ms = 0;
  int64_t retention_ms = 0;  // how long the outcome is kept once closed
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Admit,
                                                key,
                                                owner,
                                                service,
                                                digest,
                                                entry,
                                                incarnation,
                                                serial,
                                                at_ms,
                                                retention_ms)

// Only the admitting incarnation may close its admission, and only under the
// serial that holds it: a close that arrives late must not end an admission
// that a later sending of the key has opened.
struct CloseAdmission {
  RequestKey key;
  OwnerId owner;
  EntryId entry;
  Incarnation incarnation;
  uint64_t serial = 0;  // of the Admit; 0: not told
  AdmissionState outcome = AdmissionState::kUnknown;
  StoredAnswer answer;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CloseAdmission,
                                                key,
                                                owner,
                                                entry,
                                                incarnation,
                                                serial,
                                                outcome,
                                                answer,
                                                at_ms)

// --- workers ---

// A worker announced itself, restarted, or changed what it offers.
struct PutWorker {
  WorkerId worker;
  Incarnation incarnation;
  ZoneId zone;
  RackId rack;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PutWorker,
                                                worker,
                                                incarnation,
                                                zone,
                                                rack,
                                                state,
                                                capacity,
                                                at_ms)

// The worker's lease has run out: its attempts are lost, their tasks pending.
struct EndWorker {
  WorkerId worker;
  Incarnation incarnation;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndWorker,
                                                worker,
                                                incarnation,
                                                at_ms)

struct SetQuarantine {
  WorkerId worker;
  bool is_quarantined = false;
  std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetQuarantine,
                                                worker,
                                                is_quarantined,
                                                reason)

// --- jobs and tasks ---

struct SubmitJob {
  JobSpec spec;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitJob, spec, at_ms)

// Tasks that never started end as cancelled at once, others are stopped.
struct CancelJobs {
  std::vector<JobId> jobs;
  OwnerId owner;
  bool is_platform = false;  // may cancel any owner's jobs
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelJobs,
                                                jobs,
                                                owner,
                                                is_platform,
                                                at_ms)

struct Assignment {
  TaskId task;
  WorkerId worker;
  Incarnation incarnation;  // of the worker
  Resources reserved;       // max(declared, learned)
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Assignment,
                                                task,
                                                worker,
                                                incarnation,
                                                reserved)

// Each group is applied whole or not at all; a gang is one group. Applying
// checks that each task is pending, the worker lives and its capacity holds,
// and numbers the attempts.
struct AssignTasks {
  std::vector<std::vector<Assignment>> groups;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AssignTasks, groups, at_ms)

// Preemption and cancellation: stops or throttles attempts that run.
struct OrderAttempts {
  struct Item {
    TaskId task;
    AttemptId attempt;
    AttemptOrder order = AttemptOrder::kStop;
    std::string reason;
  };
  std::vector<Item> items;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OrderAttempts::Item,
                                                task,
                                                attempt,
                                                order,
                                                reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OrderAttempts, items, at_ms)

// Changes of attempts as a worker reported them; usage isn't replicated.
struct ReportAttempts {
  WorkerId worker;
  Incarnation incarnation;
  std::vector<AttemptReport> reports;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportAttempts,
                                                worker,
                                                incarnation,
                                                reports,
                                                at_ms)

// A job that became impossible waits without blocking others; empty reason:
// it is possible again.
struct ParkJob {
  JobId job;
  std::string reason;
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ParkJob, job, reason, at_ms)

// Forgets what has outlived its retention as of `at_ms`.
struct Expire {
  base::WallMs at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Expire, at_ms)

using Command = std::variant<PutSection,
                             BeginEntry,
                             EndEntry,
                             Admit,
                             CloseAdmission,
                             PutWorker,
                             EndWorker,
                             SetQuarantine,
                             SubmitJob,
                             CancelJobs,
                             AssignTasks,
                             OrderAttempts,
                             ReportAttempts,
                             ParkJob,
                             Expire>;

// What applying a command answers to its proposer.
enum class ResultCode {
  kOk,
  kInvalid,   // the command is wrong in itself
  kConflict,  // it lost a race; `details` names the winner
  kNotFound,
  kForbidden,
  kDuplicate,   // done before; `details` is the first result
  kInfeasible,  // a job that can never run
  kStale        // an older incarnation or attempt
};
NLOHMANN_JSON_SERIALIZE_ENUM(ResultCode,
                             {{ResultCode::kInvalid, "invalid"},
                              {ResultCode::kOk, "ok"},
                              {ResultCode::kConflict, "conflict"},
                              {ResultCode::kNotFound, "not-found"},
                              {ResultCode::kForbidden, "forbidden"},
                              {ResultCode::kDuplicate, "duplicate"},
                              {ResultCode::kInfeasible, "infeasible"},
                              {ResultCode::kStale, "stale"}})

struct CommandResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  nlohmann::json details;  // by command; documented in state/machine.h
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CommandResult,
                                                code,
                                                message,
                                                details)

// One log record.
std::string EncodeCommand(const Command& command);
std::optional<Command> DecodeCommand(std::string_view bytes, CodecReason& why);

}  // namespace sassafras::wire

#endif  // WIRE_COMMANDS_H_
