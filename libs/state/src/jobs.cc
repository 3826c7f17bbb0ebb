// Submission, cancellation and parking of jobs.

#include "jobs.h"

#include <algorithm>
#include <string>

#include "tasks.h"

namespace sassafras::state {
namespace {

using Json = nlohmann::json;
using wire::CommandResult;
using wire::ResultCode;
using wire::TaskState;

// Bounds JobSpec::max_attempts.
constexpr uint32_t kMaxAttempts = 1'000;

std::optional<CommandResult> CheckSpec(const wire::JobSpec& spec) {
  const auto invalid = [](std::string message) {
    return Refuse(ResultCode::kInvalid, std::move(message));
  };
  if (!IsValidId(spec.id.str()) ||
      spec.id.str().starts_with(kServiceJobPrefix)) {
    return invalid(
        "the job's id must be 1 to 128 visible characters and not "
        "begin with \"service:\"");
  }
  if (!IsValidId(spec.owner.str())) {
    return invalid("the job's owner must be 1 to 128 visible characters");
  }
  if (!spec.workload.empty() && !IsValidId(spec.workload.str())) {
    return invalid("the job's workload must be at most 128 visible characters");
  }
  if (spec.tasks == 0 || spec.tasks > kMaxTasksPerJob) {
    return invalid("the job has " + std::to_string(spec.tasks) +
                   " tasks, expected 1 to " + std::to_string(kMaxTasksPerJob));
  }
  if (!IsValidAmount(spec.per_task) || spec.per_task == wire::Resources{}) {
    return invalid(
        "per_task must request at least one resource and every amount must "
        "be 0 to 10^12; it requests " +
        spec.per_task.ToString());
  }
  if (spec.max_attempts == 0 || spec.max_attempts > kMaxAttempts) {
    return invalid("max_attempts is " + std::to_string(spec.max_attempts) +
                   ", expected 1 to " + std::to_string(kMaxAttempts));
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return invalid("the payload has " + std::to_string(spec.payload.size()) +
                   " bytes, expected at most " +
                   std::to_string(kMaxPayloadBytes));
  }
  if (spec.expected_run_ms < 0) {
    return invalid("expected_run_ms must not be negative");
  }
  return std::nullopt;
}

CommandResult CheckResubmission(const JobRecord& job,
                                const wire::JobSpec& spec) {
  if (job.spec.owner != spec.owner) {
    return Refuse(ResultCode::kNotFound,
                  "job id \"" + spec.id.str() + "\" is not available");
  }
  wire::JobSpec expected = spec;
  if (job.is_compacted) {
    expected.payload.clear();
  }
  if (Json(job.spec) == Json(expected)) {
    return {ResultCode::kDuplicate,
            "already submitted",
            {{"id", spec.id}, {"state", job.state}}};
  }
  return {ResultCode::kConflict,
          "job \"" + spec.id.str() + "\" was submitted with another spec",
          {{"id", spec.id}}};
}

std::optional<CommandResult> CheckUsage(const Store& store,
                                        const wire::JobSpec& spec) {
  const auto it = store.usage.find(spec.owner);
  const int64_t used = it != store.usage.end() ? it->second.tasks : 0;
  const int64_t bound = store.document.limits().max_tasks_per_owner;
  if (used + int64_t{spec.tasks} <= bound) {
    return std::nullopt;
  }
  return Refuse(ResultCode::kForbidden,
                "owner \"" + spec.owner.str() + "\" has " +
                    std::to_string(used) + " tasks, the job adds " +
                    std::to_string(spec.tasks) + ", the limit is " +
                    std::to_string(bound));
}

std::string CancelOne(Store& store,
                      const wire::CancelJobs& command,
                      const wire::JobId& id) {
  const auto it = store.jobs.find(id);
  const bool is_visible =
      it != store.jobs.end() &&
      (command.is_platform || it->second.spec.owner == command.owner);
  if (!is_visible) {
    return "not-found";
  }
  JobRecord& job = it->second;
  if (id.str().starts_with(kServiceJobPrefix)) {
    return "forbidden";
  }
  if (job.IsEnded() || job.goal == JobGoal::kCancel) {
    return "duplicate";
  }
  StopJob(store, job, JobGoal::kCancel, "cancelled");
  UpdateJobState(store, job);
  return "ok";
}

}  // namespace

void AddJob(Store& store, const wire::JobSpec& spec) {
  JobRecord& job = store.jobs[spec.id];
  job.spec = spec;
  job.submitted_ms = store.clock_ms;
  job.tasks.reserve(spec.tasks);
  store.Emit(JobAdded{spec.id});
  for (uint32_t n = 0; n < spec.tasks; ++n) {
    AddTask(store, job);
  }
}

CommandResult ApplySubmit(Store& store, const wire::SubmitJob& command) {
  store.Advance(command.at_ms);
  const wire::JobSpec& spec = command.spec;
  if (auto refusal = CheckSpec(spec)) {
    return *std::move(refusal);
  }
  const auto existing = store.jobs.find(spec.id);
  if (existing != store.jobs.end()) {
    return CheckResubmission(existing->second, spec);
  }
  if (auto refusal = CheckUsage(store, spec)) {
    return *std::move(refusal);
  }
  if (auto refusal = FindInfeasibility(store, spec)) {
    return *std::move(refusal);
  }
  AddJob(store, spec);
  return {ResultCode::kOk, "", {{"id", spec.id}}};
}

CommandResult ApplyCancel(Store& store, const wire::CancelJobs& command) {
  store.Advance(command.at_ms);
  Json jobs = Json::array();
  bool is_any_found = command.jobs.empty();
  for (const wire::JobId& id : command.jobs) {
    const std::string code = CancelOne(store, command, id);
    is_any_found = is_any_found || code != "not-found";
    jobs.push_back({{"id", id}, {"code", code}});
  }
  const ResultCode code =
      is_any_found ? ResultCode::kOk : ResultCode::kNotFound;
  return {code,
          is_any_found ? "" : "none of the listed jobs was found",
          {{"jobs", std::move(jobs)}}};
}

CommandResult ApplyPark(Store& store, const wire::ParkJob& command) {
  store.Advance(command.at_ms);
  const auto it = store.jobs.find(command.job);
  if (it == store.jobs.end()) {
    return Refuse(ResultCode::kNotFound,
                  "job \"" + command.job.str() + "\" does not exist");
  }
  JobRecord& job = it->second;
  const bool is_parking = !command.reason.empty();
  const JobState wanted = is_parking ? JobState::kParked : JobState::kActive;
  const bool is_ending =
      job.goal == JobGoal::kCancel || job.goal == JobGoal::kFail;
  if (job.IsEnded() || is_ending || job.state == wanted) {
    return Refuse(
        ResultCode::kDuplicate,
        "the job has ended, is ending or is already in the requested state");
  }
  job.state = wanted;
  job.reason = ShortReason(command.reason);
  const TaskState before =
      is_parking ? TaskState::kPending : TaskState::kParked;
  const TaskState after = is_parking ? TaskState::kParked : TaskState::kPending;
  for (uint32_t n = 0; n < job.tasks.size(); ++n) {
    if (job.tasks[n].state == before) {
      MoveTask(store, job, n, after, command.reason);
    }
  }
  store.Emit(JobChanged{job.spec.id});
  return {};
}

}  // namespace sassafras::state
