// Job model: jobs consist of steps, steps consist of identical tasks, and each
// task needs resources on a worker.

#ifndef JOBS_TYPES_H_
#define JOBS_TYPES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/id.h"
#include "base/time.h"
#include "wire/array_json.h"
#include "wire/ids.h"

namespace sassafras::jobs {

using QueueId = base::Name<struct QueueTag>;
using CustomerId = base::Name<struct CustomerTag>;

// Resource amounts, either the capacity of a worker or the needs of a task.
struct Resources {
  int64_t cpu_milli = 0;  // thousandths of a core
  int64_t mem_mb = 0;
  int64_t accelerators = 0;

  bool Fits(const Resources& available) const {
    return cpu_milli <= available.cpu_milli && mem_mb <= available.mem_mb &&
           accelerators <= available.accelerators;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources,
                                                cpu_milli,
                                                mem_mb,
                                                accelerators)

// The members of Resources.
inline constexpr std::array kResourceKinds = {
    &Resources::cpu_milli, &Resources::mem_mb, &Resources::accelerators};
// Returns the amounts of `count` equal needs.
Resources Times(Resources amount, uint64_t count);

// A group of identical tasks. They start only after all steps in `after` are
// done.
struct StepSpec {
  uint32_t count = 1;  // number of tasks, at least 1
  Resources need;      // per task
  int64_t estimate_ms = 0;
  std::vector<uint32_t> after;  // indices of earlier steps
  bool has_checkpoints = false;
  bool is_gang = false;        // tasks make progress only while all of them run
  bool is_rack_local = false;  // much slower on more than one rack
  bool may_run_copies = false;
  bool is_lasting = false;  // long-running: runs until the job is cancelled
  bool is_filler = false;   // best-effort task that uses spare processor time
  std::string required_label;  // worker label required; empty for any worker
  // Rack on which the tasks run faster; empty for no preference.
  std::string data_rack;
  // Limit of tasks of the step on one worker; 0 for none.
  uint32_t max_per_worker = 0;
  // Limit of tasks that the scheduler itself may make unavailable.
  uint32_t max_unavailable = 0;
  std::string image;  // tasks with the same image behave alike
  // For the users of a long-running task; 0 for none.
  int64_t target_latency_ms = 0;

  // Returns the capacity that a task occupies on a worker. A filler occupies no
  // processor capacity.
  Resources Charge() const;
  // Whether the task has a latency target, which fillers could endanger.
  bool ServesUsers() const { return is_lasting && target_latency_ms > 0; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepSpec,
                                                count,
                                                need,
                                                estimate_ms,
                                                after,
                                                has_checkpoints,
                                                is_gang,
                                                is_rack_local,
                                                may_run_copies,
                                                is_lasting,
                                                is_filler,
                                                required_label,
                                                data_rack,
                                                max_per_worker,
                                                max_unavailable,
                                                image,
                                                target_latency_ms)

// The steps of a job run once, or `occurrences` times at fixed intervals.
struct JobSpec {
  std::string payload;  // passed unchanged to every task
  std::vector<StepSpec> steps;
  uint64_t occurrences = 0;  // 0: runs once, immediately
  int64_t first_due_ms = 0;  // wall-clock ms since 1970
  int64_t interval_ms = 0;

  bool IsRecurring() const { return occurrences > 0; }
  uint64_t OccurrenceCount() const { return IsRecurring() ? occurrences : 1; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec,
                                                payload,
                                                steps,
                                                occurrences,
                                                first_due_ms,
                                                interval_ms)

// Returns why `spec` is invalid, or an empty string if it is valid.
std::string FaultOf(const JobSpec& spec);

// Identifies one step of one occurrence of a job.
struct StepKey {
  wire::JobId job;
  uint64_t occurrence = 0;
  uint32_t step = 0;

  friend auto operator<=>(const StepKey&, const StepKey&) = default;
};
WIRE_DEFINE_ARRAY(StepKey, job, occurrence, step)

struct TaskKey {
  StepKey step;
  uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};
WIRE_DEFINE_ARRAY(TaskKey, step, index)

// Returns the name of the task in log lines: job.occurrence.step.index.
std::string FormatTaskName(const TaskKey& task);

// Identifies one process of a worker. The start time distinguishes it from
// earlier processes with the same worker id.
struct WorkerBoot {
  wire::WorkerId id;
  int64_t started_ms = 0;  // worker's wall clock, ms since 1970

  friend auto operator<=>(const WorkerBoot&, const WorkerBoot&) = default;
};
WIRE_DEFINE_ARRAY(WorkerBoot, id, started_ms)

// Description of a worker, as it reports it in heartbeats.
struct WorkerInfo {
  WorkerBoot boot;
  std::string address;  // IP address
  uint16_t port = 0;
  wire::ZoneId zone;
  wire::ServiceId service;
  Resources capacity;
  // Labels that a step can require; includes the rack.
  std::vector<std::string> labels;
  std::string rack;  // empty if unknown
  bool is_draining = false;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerInfo,
                                                boot,
                                                address,
                                                port,
                                                zone,
                                                service,
                                                capacity,
                                                labels,
                                                rack,
                                                is_draining)

// Returns why a report of this worker can't be true at the time of day `now`,
// or an empty string if it can. Clocks of hosts may differ.
std::string FaultOf(const WorkerInfo& worker, base::WallMs now);

enum class RunOutcome {
  kDone,
  kFailed,          // counts against Queue::max_attempts
  kStopped,         // by an order of the leader
  kLeaseExpired,    // the worker's lease expired
  kGangBroken,      // another member of the gang ended
  kGangIncomplete,  // the other gang members didn't start in time
  kRejected,        // never started and never will
};
NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome,
                             {{RunOutcome::kDone, "done"},
                              {RunOutcome::kFailed, "failed"},
                              {RunOutcome::kStopped, "stopped"},
                              {RunOutcome::kLeaseExpired, "lapsed"},
                              {RunOutcome::kGangBroken, "broken"},
                              {RunOutcome::kGangIncomplete, "alone"},
                              {RunOutcome::kRejected, "rejected"}})

}  // namespace sassafras::jobs

#endif  // JOBS_TYPES_H_
