// What workers and the leader tell each other in a heartbeat.

#ifndef WIRE_WORKER_H_
#define WIRE_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wire/ids.h"
#include "wire/job.h"
#include "wire/resources.h"

namespace sassafras::wire {

enum class WorkerState { kReady, kLeaving };
NLOHMANN_JSON_SERIALIZE_ENUM(WorkerState,
                             {{WorkerState::kReady, "ready"},
                              {WorkerState::kLeaving, "leaving"}})

// What a worker says of one attempt.
enum class AttemptState { kRunning, kDone, kFailed, kStopped };
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptState,
                             {{AttemptState::kRunning, "running"},
                              {AttemptState::kDone, "done"},
                              {AttemptState::kFailed, "failed"},
                              {AttemptState::kStopped, "stopped"}})

// What the leader wants done with one attempt. Idempotent: the whole list is
// repeated in every answer until the worker's reports match it.
enum class AttemptOrder { kRun, kThrottle, kCheckpoint, kStop };
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptOrder,
                             {{AttemptOrder::kRun, "run"},
                              {AttemptOrder::kThrottle, "throttle"},
                              {AttemptOrder::kCheckpoint, "checkpoint"},
                              {AttemptOrder::kStop, "stop"}})

struct AttemptReport {
  TaskId task;
  AttemptId attempt;
  AttemptState state = AttemptState::kRunning;
  bool has_started = true;  // false: stopped before it ever ran
  std::string reason;
  Resources usage;  // observed, lags behind
  int64_t ran_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptReport,
                                                task,
                                                attempt,
                                                state,
                                                has_started,
                                                reason,
                                                usage,
                                                ran_ms)

// POST /v1/workers/{id}/heartbeat. `incarnation` changes when the worker's
// process restarts; `sequence` grows with each heartbeat of an incarnation.
struct WorkerHeartbeat {
  WorkerId worker;
  Incarnation incarnation;
  uint64_t sequence = 0;
  ZoneId zone;
  RackId rack;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  std::vector<AttemptReport> attempts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerHeartbeat,
                                                worker,
                                                incarnation,
                                                sequence,
                                                zone,
                                                rack,
                                                state,
                                                capacity,
                                                attempts)

struct AttemptCommand {
  TaskId task;
  AttemptId attempt;
  AttemptOrder order = AttemptOrder::kRun;
  Resources limit;
  std::string payload;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptCommand,
                                                task,
                                                attempt,
                                                order,
                                                limit,
                                                payload)

// The lease runs from the moment the worker sent the heartbeat answered here.
// A worker whose lease runs out stops every attempt by itself. Attempts that
// `commands` doesn't list are to be stopped.
struct WorkerAnswer {
  uint64_t sequence = 0;
  int64_t lease_ms = 0;  // 0: no lease granted
  // This incarnation was ended: stop every attempt and begin a new one.
  bool is_ended = false;
  std::vector<AttemptCommand> commands;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerAnswer,
                                                sequence,
                                                lease_ms,
                                                is_ended,
                                                commands)

}  // namespace sassafras::wire

#endif  // WIRE_WORKER_H_
