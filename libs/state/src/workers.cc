// Applies registration, changes, quarantine and lease expiry of workers.

#include "workers.h"

#include <set>
#include <string>

#include "tasks.h"

namespace sassafras::state {
namespace {

using wire::CommandResult;
using wire::ResultCode;

// Declares all attempts on the worker lost. Returns their number.
size_t EndLostAttempts(Store& store,
                       const wire::WorkerId& id,
                       const std::string& reason) {
  const std::set<wire::TaskId> tasks = store.workers.at(id).tasks;
  for (const wire::TaskId& it : tasks) {
    JobRecord& job = store.jobs.at(it.job);
    EndAttempt(store, job, it.index, {true, reason});
    UpdateJobState(store, job);
  }
  return tasks.size();
}

CommandResult RefuseEndedRun(const wire::WorkerId& id) {
  return Refuse(ResultCode::kStale,
                "this run of worker \"" + id.str() + "\" has ended");
}

bool IsEndedRun(const WorkerRecord& worker, const wire::PutWorker& command) {
  const bool is_latest = worker.incarnation == command.incarnation;
  return (is_latest && !worker.is_live) ||
         IsPastIncarnation(worker.past, command.incarnation);
}

std::optional<CommandResult> CheckPut(const Store& store,
                                      const wire::PutWorker& command) {
  const bool has_valid_ids = IsValidId(command.worker.str()) &&
                             IsValidId(command.incarnation.str()) &&
                             command.zone.str().size() <= kMaxIdBytes &&
                             command.rack.str().size() <= kMaxIdBytes;
  if (!has_valid_ids || !IsValidAmount(command.capacity)) {
    return Refuse(ResultCode::kInvalid,
                  "worker and incarnation must be 1 to 128 visible characters, "
                  "zone and rack at most 128 bytes, and each amount of "
                  "capacity 0 to 10^12");
  }
  const auto it = store.workers.find(command.worker);
  if (it == store.workers.end() && store.workers.size() == kMaxWorkers) {
    return Refuse(ResultCode::kForbidden,
                  "the cell already has the maximum of " +
                      std::to_string(kMaxWorkers) + " workers");
  }
  if (it != store.workers.end() && IsEndedRun(it->second, command)) {
    return RefuseEndedRun(command.worker);
  }
  return std::nullopt;
}

}  // namespace

CommandResult ApplyPutWorker(Store& store, const wire::PutWorker& command) {
  store.Advance(command.at_ms);
  if (auto refusal = CheckPut(store, command)) {
    return *std::move(refusal);
  }
  WorkerRecord& worker = store.workers[command.worker];
  size_t lost = 0;
  if (worker.incarnation != command.incarnation) {
    lost = EndLostAttempts(store, command.worker,
                           "worker \"" + command.worker.str() + "\" restarted");
    AddPastIncarnation(worker.past, worker.incarnation);
  }
  worker.incarnation = command.incarnation;
  worker.zone = command.zone;
  worker.rack = command.rack;
  worker.state = command.state;
  worker.capacity = command.capacity;
  worker.is_live = true;
  worker.at_ms = store.clock_ms;
  store.Emit(WorkerChanged{command.worker});
  return {ResultCode::kOk, "", {{"lost", lost}}};
}

CommandResult ApplyEndWorker(Store& store, const wire::EndWorker& command) {
  store.Advance(command.at_ms);
  const auto it = store.workers.find(command.worker);
  const bool is_live = it != store.workers.end() && it->second.is_live &&
                       it->second.incarnation == command.incarnation;
  if (!is_live) {
    return RefuseEndedRun(command.worker);
  }
  const size_t lost = EndLostAttempts(
      store, command.worker,
      "the lease of worker \"" + command.worker.str() + "\" ran out");
  it->second.is_live = false;
  it->second.at_ms = store.clock_ms;
  store.Emit(WorkerChanged{command.worker});
  return {ResultCode::kOk, "", {{"lost", lost}}};
}

CommandResult ApplyQuarantine(Store& store,
                              const wire::SetQuarantine& command) {
  const auto it = store.workers.find(command.worker);
  if (it == store.workers.end()) {
    return Refuse(ResultCode::kNotFound,
                  "worker \"" + command.worker.str() + "\" does not exist");
  }
  it->second.is_quarantined = command.is_quarantined;
  it->second.quarantine_reason =
      command.is_quarantined ? ShortReason(command.reason) : "";
  store.Emit(WorkerChanged{command.worker});
  return {};
}

}  // namespace sassafras::state
