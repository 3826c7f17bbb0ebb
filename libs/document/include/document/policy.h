// Typed content of the sections of the cluster document.

#ifndef DOCUMENT_POLICY_H_
#define DOCUMENT_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.h"
#include "wire/job.h"
#include "wire/resources.h"

namespace sassafras::document {

// Role of a bearer token; determines the requests that it may make.
enum class Role { kCaller, kWorker, kOperator, kPlatform };

// Identity of the holder of a bearer token. `owner` may be empty for workers
// and for the platform.
struct Identity {
  std::string name;
  Role role = Role::kCaller;
  wire::OwnerId owner;

  friend bool operator==(const Identity&, const Identity&) = default;
};

// Scheduling weight and quota of one team, from [owners.NAME] of the platform
// section.
struct OwnerPolicy {
  wire::OwnerId owner;
  int64_t weight = 1;                    // [1, 1,000,000]
  std::optional<wire::Resources> quota;  // hard limit; unlimited if unset
};

// Request handling settings of one service, from [services.NAME] of the
// owner's section.
struct ServicePolicy {
  wire::ServiceId service;
  wire::SectionId section;
  wire::OwnerId owner;
  wire::Priority priority = wire::Priority::kNormal;
  int64_t timeout_ms = 30'000;  // maximum request duration
  int64_t max_queue = 1'000;    // waiting requests per owner and entry
  int64_t retry_percent = 10;   // retry budget in percent of successes
  int64_t answer_retention_ms = 600'000;  // of non-idempotent requests
  int64_t max_answer_bytes = 65'536;      // larger answers are not stored
  std::vector<wire::OwnerId> callers;     // owners allowed to call; sorted
};

// A long-running service of which `instances` are kept running, from
// [workloads.NAME].
struct Workload {
  wire::WorkloadId name;
  wire::SectionId section;
  wire::OwnerId owner;
  wire::Priority priority = wire::Priority::kNormal;
  uint32_t instances = 1;
  wire::Resources per_instance;
  std::string payload;

  // Returns the id of the job that runs this workload.
  wire::JobId job_id() const {
    return wire::JobId("service:" + section.str() + "/" + name.str());
  }
};

// Retention times and size limits of the replicated state, from [limits].
struct Limits {
  int64_t answer_retention_ms = 600'000;       // default of ServicePolicy
  int64_t job_retention_ms = 3'600'000;        // of ended jobs
  int64_t change_retention_ms = 86'400'000;    // of change ids
  int64_t worker_retention_ms = 86'400'000;    // of ended workers and entries
  int64_t max_tasks_per_owner = 200'000;       // of jobs that have not ended
  int64_t max_ended_tasks_per_owner = 20'000;  // tasks of the oldest ended jobs
                                               // are removed first
  int64_t max_ended_jobs_per_owner = 50'000;   // the oldest are removed first
  int64_t max_admissions_per_owner = 200'000;
  int64_t max_answer_bytes_per_owner = 33'554'432;  // excess is not stored
};

}  // namespace sassafras::document

#endif  // DOCUMENT_POLICY_H_
