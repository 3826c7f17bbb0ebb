// Messages between entries, control hosts and the leader. Each message is the
// body of a cluster::Client call; the comment beside a method names its body.

#ifndef JOBCONTROL_MESSAGES_H_
#define JOBCONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "consensus/types.h"
#include "jobs/job_table.h"
#include "jobs/manifest.h"
#include "jobs/types.h"
#include "wire/control.h"

namespace sassafras::jobcontrol {

inline constexpr std::string_view kSubmitMethod =
    "job-submit";                                              // JobSubmission
inline constexpr std::string_view kStateMethod = "job-state";  // JobQuery
inline constexpr std::string_view kCancelMethod = "job-cancel";  // JobQuery
inline constexpr std::string_view kCountMethod = "job-count";    // JobQuery
inline constexpr std::string_view kPutMethod = "manifest-put";   // Manifest
inline constexpr std::string_view kGetMethod = "manifest-get";   // empty object
// WorkerHeartbeat
inline constexpr std::string_view kHeartbeatMethod = "worker-heartbeat";
// vector<HeardWorker>
inline constexpr std::string_view kHeardMethod = "workers-heard";
inline constexpr std::string_view kLeaveMethod = "worker-leave";  // WorkerBoot
inline constexpr std::string_view kHelloMethod = "hello";         // Hello
inline constexpr std::string_view kJoinMethod = "join";           // Member

// Sent by the leader to a host that can query the placement service.
inline constexpr std::string_view kAdviseMethod = "advise";  // AdviceQuery

// Sent by an entry to any control host: ManifestFetch, answered by a
// ManifestPiece.
inline constexpr std::string_view kFetchMethod = "manifest-fetch";

// Who makes a call, as the entry knows it. The leader decides by `key` and its
// own table.
struct Caller {
  // Whether the entry looked for a key. Not so if its copy of the manifest
  // names no customers, or if it runs an earlier version of the program.
  bool is_checked = false;
  std::optional<jobs::KeyDigest> key;  // nullopt if the caller gave none
  // Whose key it is by the entry's copy of the manifest; empty without a key.
  jobs::CustomerId customer;
};
// Adds the caller to the message `value`, unless its key wasn't looked for, so
// that messages without customers are those of earlier versions.
void WriteCaller(const Caller& caller, nlohmann::json& value);
// Throws nlohmann::json::exception if the caller in `value` is malformed.
Caller ReadCaller(const nlohmann::json& value);

// The caller is beside the command, which is recorded, so that no digest of a
// key gets into the log or a snapshot.
struct JobSubmission {
  jobs::AddJob job;
  Caller caller;
};
void to_json(nlohmann::json& value, const JobSubmission& submission);
void from_json(const nlohmann::json& value, JobSubmission& submission);

// Identifies a job within its queue, or the whole queue if `job` is empty.
struct JobQuery {
  jobs::QueueId queue;
  wire::JobId job;
  Caller caller;
};
void to_json(nlohmann::json& value, const JobQuery& query);
void from_json(const nlohmann::json& value, JobQuery& query);

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
NLOHMANN_JSON_SERIALIZE_ENUM(JobState,
                             {{JobState::kQueued, "queued"},
                              {JobState::kRunning, "running"},
                              {JobState::kCompleted, "completed"},
                              {JobState::kFailed, "failed"},
                              {JobState::kCancelled, "cancelled"}})

// The job status returned to callers. If `is_found` is false, the job doesn't
// exist and `state` has no meaning.
struct JobStatus {
  bool is_found = false;
  JobState state = JobState::kQueued;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobStatus, is_found, state)

struct WorkerHeartbeat {
  jobs::WorkerInfo worker;
  int64_t clock_ms = 0;  // the worker's monotonic clock since its start
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerHeartbeat,
                                                worker,
                                                clock_ms)

// A heartbeat that another control host has answered, because it changed
// nothing.
struct HeardWorker {
  jobs::WorkerBoot boot;
  int64_t clock_ms = 0;
};
WIRE_DEFINE_ARRAY(HeardWorker, boot, clock_ms)

// Sent periodically to the leader by every control host and entry.
struct Hello {
  wire::EntryId name;            // peer address of the sender
  bool is_adviser = false;       // whether it can query the placement service
  consensus::ReplicaId replica;  // empty if the sender hosts no replica
  uint64_t manifest_version = 0;
  bool is_stopping = false;  // the sender was told to stop
  // Whether the sender reads HelloReply::packed_manifest.
  bool unpacks_manifest = false;
  // Whether the sender fetches the manifest, so that the reply needs only name
  // its version.
  bool fetches_manifest = false;
  // Whether the sender's replica applies starts of copies. One of an earlier
  // version of the program refuses them.
  bool applies_copies = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Hello,
                                                name,
                                                is_adviser,
                                                replica,
                                                manifest_version,
                                                is_stopping,
                                                unpacks_manifest,
                                                fetches_manifest,
                                                applies_copies)

struct HelloReply {
  std::vector<consensus::Member> members;
  // Has version 0 unless an entry of an earlier version of the program, with an
  // older manifest, sent the hello.
  jobs::Manifest manifest;
  // The encoded manifest, which has `packed_version`; empty unless an entry
  // of an earlier version of the program, with an older one, sent the hello.
  std::string packed_manifest;
  uint64_t packed_version = 0;
  // Version of the leader's manifest; 0 if it has none, or if the leader is of
  // an earlier version of the program.
  uint64_t newest_version = 0;
  // Time from the last instant at which the leader is known to have been the
  // newest one until this reply; -1 if that instant isn't known.
  int64_t confirmed_age_us = -1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HelloReply,
                                                members,
                                                manifest,
                                                packed_manifest,
                                                packed_version,
                                                newest_version,
                                                confirmed_age_us)

// Asks for a part of an update of the manifest.
struct ManifestFetch {
  // Version that the sender has, which the update is to change; 0 for the whole
  // manifest.
  uint64_t base = 0;
  // At offset 0, the lowest version wanted. Otherwise that of the update whose
  // first bytes the sender already has.
  uint64_t version = 0;
  uint64_t offset = 0;  // in the bytes of the update
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ManifestFetch,
                                                base,
                                                version,
                                                offset)

enum class PieceStatus {
  kGone,  // the host doesn't have this update, or can't compute it any more
  kOk,
  kBehind,  // the host hasn't applied the version yet
};
NLOHMANN_JSON_SERIALIZE_ENUM(PieceStatus,
                             {{PieceStatus::kGone, "gone"},
                              {PieceStatus::kOk, "ok"},
                              {PieceStatus::kBehind, "behind"}})

struct ManifestPiece {
  PieceStatus status = PieceStatus::kGone;
  // Of the update. `base` is 0 if the sender's version isn't known to the host.
  uint64_t base = 0;
  uint64_t version = 0;
  uint64_t offset = 0;    // of `bytes` in the update
  uint64_t size = 0;      // of the whole update in bytes
  uint32_t checksum = 0;  // CRC-32 of the whole update
  std::string bytes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ManifestPiece,
                                                status,
                                                base,
                                                version,
                                                offset,
                                                size,
                                                checksum,
                                                bytes)

// Converts a recorded job to the status that callers see.
JobStatus JobStatusOf(const jobs::JobRecord& job);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MESSAGES_H_
