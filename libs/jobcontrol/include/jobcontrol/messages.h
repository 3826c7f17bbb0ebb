// What entries, control hosts and the leader tell each other about jobs. Every
// message is the body of a cluster::Client call of the method named with it.

#ifndef JOBCONTROL_MESSAGES_H_
#define JOBCONTROL_MESSAGES_H_

#include <cstdint>
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

inline constexpr std::string_view kSubmitMethod = "job-submit";  // AddJob
inline constexpr std::string_view kStateMethod = "job-state";    // JobQuery
inline constexpr std::string_view kCancelMethod = "job-cancel";  // JobQuery
inline constexpr std::string_view kCountMethod = "job-count";    // JobQuery
inline constexpr std::string_view kPutMethod = "manifest-put";   // Manifest
inline constexpr std::string_view kGetMethod = "manifest-get";   // {}
inline constexpr std::string_view kHeartbeatMethod = "worker-heartbeat";
inline constexpr std::string_view kLeaveMethod = "worker-leave";  // boot
inline constexpr std::string_view kHelloMethod = "hello";         // Hello
inline constexpr std::string_view kJoinMethod = "join";           // Member

// A call of a process to every process that can ask the placement service.
inline constexpr std::string_view kAdviseMethod = "advise";  // AdviceQuery

// Names a job within its queue; `job` is empty where the queue is meant.
struct JobQuery {
  jobs::QueueId queue;
  wire::JobId job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobQuery, queue, job)

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
NLOHMANN_JSON_SERIALIZE_ENUM(JobState,
                             {{JobState::kQueued, "queued"},
                              {JobState::kRunning, "running"},
                              {JobState::kCompleted, "completed"},
                              {JobState::kFailed, "failed"},
                              {JobState::kCancelled, "cancelled"}})

// What a caller is told of a job; nothing where there is no such job.
struct JobAnswer {
  bool is_found = false;
  JobState state = JobState::kQueued;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobAnswer, is_found, state)

struct WorkerHeartbeat {
  jobs::WorkerInfo worker;
  int64_t clock_ms = 0;  // of the worker, steady since its start
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerHeartbeat,
                                                worker,
                                                clock_ms)

// A process tells the leader that it is there.
struct Hello {
  wire::EntryId name;  // its peer address
  bool is_adviser = false;
  consensus::ReplicaId replica;  // empty: no control replica
  uint64_t manifest_version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Hello,
                                                name,
                                                is_adviser,
                                                replica,
                                                manifest_version)

struct HelloAnswer {
  std::vector<consensus::Member> members;
  jobs::Manifest manifest;  // version 0: the caller's isn't older
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HelloAnswer, members, manifest)

// The state of a recorded job as callers see it.
JobAnswer AnswerOf(const jobs::JobRecord& job);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MESSAGES_H_
