// Applies orders to attempts and the reports of workers about them.

#include <array>

#include "attempts.h"
#include "tasks.h"

namespace sassafras::state {
namespace {

using Json = nlohmann::json;
using wire::AttemptOrder;
using wire::AttemptReport;
using wire::ResultCode;
using wire::TaskState;

// The task that a command refers to, and its job. Both null if there is no such
// task.
struct Target {
  JobRecord* job = nullptr;
  TaskRecord* task = nullptr;
};

Target FindTarget(Store& store, const wire::TaskId& id) {
  const auto it = store.jobs.find(id.job);
  if (it == store.jobs.end() || id.index >= it->second.tasks.size()) {
    return {};
  }
  return {&it->second, &it->second.tasks[id.index]};
}

ResultCode ApplyOrder(Store& store, const wire::OrderAttempts::Item& item) {
  const Target target = FindTarget(store, item.task);
  if (target.task == nullptr) {
    return ResultCode::kNotFound;
  }
  if (target.task->attempt != item.attempt || !target.task->IsPlaced()) {
    return ResultCode::kStale;
  }
  const bool is_stop = item.order == AttemptOrder::kStop ||
                       item.order == AttemptOrder::kCheckpoint;
  if (is_stop) {
    StopTask(store, *target.job, item.task.index, item.order, item.reason);
  } else if (target.task->state != TaskState::kStopping) {
    target.task->order = item.order;
    MoveTask(store, *target.job, item.task.index, target.task->state,
             item.reason);
  }
  return ResultCode::kOk;
}

void HandleRunning(Store& store, JobRecord& job, const AttemptReport& report) {
  TaskRecord& task = job.tasks[report.task.index];
  task.has_started = true;
  if (task.state == TaskState::kAssigned) {
    MoveTask(store, job, report.task.index, TaskState::kRunning);
  }
}

void HandleDone(Store& store, JobRecord& job, const AttemptReport& report) {
  FinishAttempt(store, job, report.task.index);
}

void HandleFailed(Store& store, JobRecord& job, const AttemptReport& report) {
  FailAttempt(store, job, report.task.index, report.reason);
}

void HandleStopped(Store& store, JobRecord& job, const AttemptReport& report) {
  const std::string reason =
      report.reason.empty() ? "stopped by its worker" : report.reason;
  EndAttempt(store, job, report.task.index, {report.has_started, reason});
}

// Handlers of reports, indexed by wire::AttemptState.
using ReportHandler = void (*)(Store&, JobRecord&, const AttemptReport&);
constexpr std::array<ReportHandler, 4> kReportHandlers = {
    &HandleRunning, &HandleDone, &HandleFailed, &HandleStopped};

bool IsLiveRun(const Store& store, const wire::ReportAttempts& command) {
  const auto it = store.workers.find(command.worker);
  return it != store.workers.end() && it->second.is_live &&
         it->second.incarnation == command.incarnation;
}

ResultCode ApplyReport(Store& store,
                       const wire::WorkerId& worker,
                       const AttemptReport& report) {
  const Target target = FindTarget(store, report.task);
  const bool is_current = target.task != nullptr && target.task->IsPlaced() &&
                          target.task->attempt == report.attempt &&
                          target.task->worker == worker;
  if (!is_current) {
    return ResultCode::kStale;
  }
  kReportHandlers[static_cast<size_t>(report.state)](store, *target.job,
                                                     report);
  UpdateJobState(store, *target.job);
  return ResultCode::kOk;
}

}  // namespace

wire::CommandResult ApplyOrders(Store& store,
                                const wire::OrderAttempts& command) {
  store.Advance(command.at_ms);
  Json items = Json::array();
  for (const wire::OrderAttempts::Item& it : command.items) {
    items.push_back(ApplyOrder(store, it));
  }
  return {ResultCode::kOk, "", {{"items", std::move(items)}}};
}

wire::CommandResult ApplyReports(Store& store,
                                 const wire::ReportAttempts& command) {
  store.Advance(command.at_ms);
  if (!IsLiveRun(store, command)) {
    return Refuse(
        ResultCode::kStale,
        "this run of worker \"" + command.worker.str() + "\" is not live");
  }
  Json reports = Json::array();
  for (const AttemptReport& it : command.reports) {
    reports.push_back(ApplyReport(store, command.worker, it));
  }
  return {ResultCode::kOk, "", {{"reports", std::move(reports)}}};
}

}  // namespace sassafras::state
