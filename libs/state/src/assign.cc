// Applies assignments. Each group is atomic: it is checked first and then
// applied as a whole or refused as a whole.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "attempts.h"
#include "tasks.h"

namespace sassafras::state {
namespace {

using Json = nlohmann::json;
using wire::Assignment;
using wire::ResultCode;

// Maximum ratio of the CPU declared by a batch or gang job to the CPU reserved
// by one of its attempts.
constexpr int64_t kMaxDeclaredPerReservedCpu = 4;

// Returns the minimum reservation of an attempt of the job. A worker can
// throttle the CPU of an attempt, so batch and gang tasks with a known low CPU
// usage may reserve less CPU than declared. Memory and accelerators can't be
// reclaimed from a running attempt, so they are always reserved in full.
// Services reserve everything they declare.
wire::Resources MinReservation(const wire::JobSpec& spec) {
  wire::Resources reservation = spec.per_task;
  if (spec.kind != wire::JobKind::kService) {
    reservation.milli_cpus =
        (reservation.milli_cpus + kMaxDeclaredPerReservedCpu - 1) /
        kMaxDeclaredPerReservedCpu;
  }
  return reservation;
}

// Checks one group against the state, and its assignments against each other.
class GroupCheck {
 public:
  explicit GroupCheck(const Store& store) : store_(store) {}

  // Returns kOk if the group can be applied, otherwise kConflict and a message.
  wire::CommandResult Run(const std::vector<Assignment>& group) {
    for (const Assignment& it : group) {
      const bool is_valid =
          CheckTask(it) && CheckWorker(it) && CheckCapacity(it);
      if (!is_valid) {
        return Refuse(ResultCode::kConflict, message_);
      }
    }
    return CheckGangs() ? wire::CommandResult{}
                        : Refuse(ResultCode::kConflict, message_);
  }

 private:
  bool Fail(const Assignment& it, const std::string& text) {
    message_ = "task \"" + it.task.ToString() + "\": " + text;
    return false;
  }

  bool CheckTask(const Assignment& it) {
    const auto found = store_.jobs.find(it.task.job);
    if (found == store_.jobs.end()) {
      return Fail(it, "the job does not exist");
    }
    const JobRecord& job = found->second;
    if (job.IsEnded()) {
      return Fail(it, "the job has ended");
    }
    if (it.task.index >= job.spec.tasks) {
      return Fail(it, "the job has no task with this index");
    }
    if (job.tasks[it.task.index].state != wire::TaskState::kPending) {
      return Fail(it, "the task is not pending");
    }
    if (!IsValidAmount(it.reserved) ||
        !MinReservation(job.spec).FitsIn(it.reserved)) {
      return Fail(
          it, "the assignment reserves " + it.reserved.ToString() +
                  ", which is invalid or too little for a job that declares " +
                  job.spec.per_task.ToString());
    }
    if (!tasks_.insert(it.task).second) {
      return Fail(it, "the task appears twice in the group");
    }
    if (job.spec.kind == wire::JobKind::kGang) {
      ++gangs_[it.task.job];
    }
    return true;
  }

  bool CheckWorker(const Assignment& it) {
    const auto found = store_.workers.find(it.worker);
    if (found == store_.workers.end() || !found->second.is_live ||
        found->second.incarnation != it.incarnation) {
      return Fail(it,
                  "this run of worker \"" + it.worker.str() + "\" is not live");
    }
    if (!found->second.CanTakeWork()) {
      return Fail(
          it, "worker \"" + it.worker.str() + "\" does not accept new work");
    }
    return true;
  }

  bool CheckCapacity(const Assignment& it) {
    const WorkerRecord& worker = store_.workers.at(it.worker);
    wire::Resources& planned = planned_[it.worker];
    const wire::Resources free_capacity =
        worker.capacity - worker.reserved - planned;
    if (!it.reserved.FitsIn(free_capacity)) {
      return Fail(it, "worker \"" + it.worker.str() + "\" has only " +
                          free_capacity.ToString() + " free");
    }
    planned += it.reserved;
    return true;
  }

  bool CheckGangs() {
    const auto it = std::ranges::find_if(gangs_, [&](const auto& gang) {
      return gang.second != store_.jobs.at(gang.first).spec.tasks;
    });
    if (it != gangs_.end()) {
      message_ =
          "gang \"" + it->first.str() +
          "\" must be placed as a whole, with all its tasks in one group";
      return false;
    }
    return true;
  }

  const Store& store_;
  std::set<wire::TaskId> tasks_;
  // Sum of the reservations of this group on each worker.
  std::map<wire::WorkerId, wire::Resources> planned_;
  std::map<wire::JobId, uint32_t> gangs_;  // number of tasks by gang
  std::string message_;
};

Json ApplyGroup(Store& store, const std::vector<Assignment>& group) {
  const wire::CommandResult check = GroupCheck(store).Run(group);
  Json attempts = Json::array();
  if (check.code == ResultCode::kOk) {
    for (const Assignment& it : group) {
      JobRecord& job = store.jobs.at(it.task.job);
      attempts.push_back(PlaceTask(store, job, it.task.index,
                                   {it.worker, it.incarnation, it.reserved}));
    }
  }
  return {{"code", check.code},
          {"message", check.message},
          {"attempts", std::move(attempts)}};
}

}  // namespace

wire::CommandResult ApplyAssign(Store& store,
                                const wire::AssignTasks& command) {
  store.Advance(command.at_ms);
  wire::CommandResult result;
  Json groups = Json::array();
  for (const std::vector<Assignment>& group : command.groups) {
    groups.push_back(ApplyGroup(store, group));
    if (groups.back()["code"] != Json(ResultCode::kOk)) {
      result = Refuse(ResultCode::kConflict, groups.back()["message"]);
    }
  }
  result.details = {{"groups", std::move(groups)}};
  return result;
}

}  // namespace sassafras::state
