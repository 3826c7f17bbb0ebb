// What callers submit and workers run: jobs of steps, steps of tasks, and the
// resources that a task needs.

#ifndef JOBS_TYPES_H_
#define JOBS_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/id.h"
#include "wire/array_json.h"
#include "wire/ids.h"

namespace sassafras::jobs {

using QueueId = base::Name<struct QueueTag>;

// Amounts of one worker or one task.
struct Resources {
  int64_t cpu_milli = 0;  // thousandths of a core
  int64_t mem_mb = 0;
  int64_t accelerators = 0;

  bool Fits(const Resources& room) const {
    return cpu_milli <= room.cpu_milli && mem_mb <= room.mem_mb &&
           accelerators <= room.accelerators;
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

// Tasks that are alike. They wait until every step of `after` is done.
struct StepSpec {
  uint32_t count = 1;  // tasks, at least 1
  Resources need;      // of each task
  int64_t estimate_ms = 0;
  std::vector<uint32_t> after;  // earlier steps, by position
  bool has_checkpoints = false;
  bool is_gang = false;        // the tasks work only while all of them run
  bool is_rack_local = false;  // much slower on more than one rack
  bool may_run_copies = false;
  bool is_lasting = false;        // runs until the job is cancelled
  bool is_filler = false;         // uses processor time that others leave
  std::string required_label;     // empty: any worker
  std::string data_rack;          // faster there; empty: no preference
  uint32_t max_per_worker = 0;    // 0: no limit
  uint32_t max_unavailable = 0;   // by the system's own actions
  std::string image;              // tasks of one image behave alike
  int64_t target_latency_ms = 0;  // of a lasting task's own users; 0: none

  // What a task takes of a worker's capacity.
  Resources Charge() const;
  // Whether its users have a latency target, which fillers could endanger.
  bool IsServed() const { return is_lasting && target_latency_ms > 0; }
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

// A job's steps run once, or `occurrences` times by the clock.
struct JobSpec {
  std::string payload;  // handed to every task as it is
  std::vector<StepSpec> steps;
  uint64_t occurrences = 0;  // 0: once, at once
  int64_t first_due_ms = 0;  // wall clock, milliseconds since 1970
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

// Why `spec` can't be run by any cluster; empty where it can.
std::string FaultOf(const JobSpec& spec);

// One step of one occurrence of a job.
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

// A worker's process, told apart from earlier ones under the same id by the
// time of its start.
struct WorkerBoot {
  wire::WorkerId id;
  int64_t started_ms = 0;  // wall clock of the worker, since 1970

  friend auto operator<=>(const WorkerBoot&, const WorkerBoot&) = default;
};
WIRE_DEFINE_ARRAY(WorkerBoot, id, started_ms)

// What a worker says of itself.
struct WorkerInfo {
  WorkerBoot boot;
  std::string address;  // IP number
  uint16_t port = 0;
  wire::ZoneId zone;
  wire::ServiceId service;
  Resources capacity;
  std::vector<std::string> labels;  // what a step may require; with the rack
  std::string rack;                 // empty: unknown
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

enum class RunEnd {
  kDone,
  kFailed,    // counts as an attempt
  kStopped,   // on an order
  kLapsed,    // its lease ran out
  kBroken,    // another member of its gang ended
  kAlone,     // the rest of its gang didn't come
  kRejected,  // never started, and never will
};
NLOHMANN_JSON_SERIALIZE_ENUM(RunEnd,
                             {{RunEnd::kDone, "done"},
                              {RunEnd::kFailed, "failed"},
                              {RunEnd::kStopped, "stopped"},
                              {RunEnd::kLapsed, "lapsed"},
                              {RunEnd::kBroken, "broken"},
                              {RunEnd::kAlone, "alone"},
                              {RunEnd::kRejected, "rejected"}})

}  // namespace sassafras::jobs

#endif  // JOBS_TYPES_H_
