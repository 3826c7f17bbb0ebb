// Translates state changes to scheduler events, and plans to commands.

#include "placement_driver.h"

#include <algorithm>
#include <array>
#include <utility>

#include "telemetry/decision.h"

namespace sassafras::control {
namespace {

// Fixed, so that the same events, times and limits give the same plans.
constexpr uint64_t kSchedulerSeed = 1;

// Indexed by placement::DecisionKind.
constexpr std::array kDecisionNames = {
    "place", "wait", "reserve", "preempt",    "over-use",
    "shed",  "park", "unpark",  "quarantine", "release"};

// Converts a wall clock time to an instant, relative to `now`.
base::Instant ToInstant(base::Instant now, base::WallMs wall_ms) {
  return now - std::chrono::milliseconds(kernel::WallNow() - wall_ms);
}

bool IsPlaced(wire::TaskState state) {
  return state == wire::TaskState::kAssigned ||
         state == wire::TaskState::kRunning ||
         state == wire::TaskState::kStopping;
}

placement::TaskOutcome OutcomeOf(const state::TaskChanged& change) {
  if (change.after == wire::TaskState::kDone) {
    return placement::TaskOutcome::kDone;
  }
  if (change.has_failed || change.after == wire::TaskState::kFailed) {
    return placement::TaskOutcome::kFailed;
  }
  if (change.after == wire::TaskState::kCancelled) {
    return placement::TaskOutcome::kCancelled;
  }
  return change.before == wire::TaskState::kStopping
             ? placement::TaskOutcome::kPreempted
             : placement::TaskOutcome::kLost;
}

}  // namespace

std::unique_ptr<PlacementDriver> PlacementDriver::Create(
    ReplicaService& replica,
    base::Instant now,
    placement::PlacementReason& why) {
  std::unique_ptr<PlacementDriver> driver(new PlacementDriver(replica));
  return driver->Rebuild(now, why) ? std::move(driver) : nullptr;
}

bool PlacementDriver::Rebuild(base::Instant now,
                              placement::PlacementReason& why) {
  scheduler_ = placement::Scheduler::Create({}, kSchedulerSeed, why);
  if (!scheduler_) {
    return false;
  }
  owners_.clear();
  PutOwners(now);
  const state::Machine& machine = replica_.machine();
  for (const auto& [id, worker] : machine.workers()) {
    PutWorker(now, id);
  }
  for (const auto& [id, job] : machine.jobs()) {
    PutJob(now, id);
  }
  return true;
}

void PlacementDriver::PutOwners(base::Instant now) {
  std::set<wire::OwnerId> current;
  for (const auto& owner : replica_.machine().document().owners()) {
    current.insert(owner.owner);
    scheduler_->Apply(now, placement::PutOwner{
                               owner.owner, static_cast<uint32_t>(owner.weight),
                               owner.quota});
  }
  for (const auto& owner : owners_) {
    if (!current.contains(owner)) {
      scheduler_->Apply(now, placement::RemoveOwner{owner});
    }
  }
  owners_ = std::move(current);
}

void PlacementDriver::PutWorker(base::Instant now, const wire::WorkerId& id) {
  const state::WorkerRecord* worker = replica_.machine().FindWorker(id);
  if (!worker || !worker->is_live) {
    scheduler_->Apply(now, placement::RemoveWorker{id});
    return;
  }
  scheduler_->Apply(
      now, placement::PutWorker{id, worker->incarnation, worker->zone,
                                worker->rack, worker->state, worker->capacity});
  scheduler_->Apply(now, placement::SetQuarantine{id, worker->is_quarantined});
}

void PlacementDriver::PutJob(base::Instant now, const wire::JobId& id) {
  const state::JobRecord* job = replica_.machine().FindJob(id);
  if (!job || job->IsEnded()) {
    scheduler_->Apply(now, placement::RemoveJob{id});
    return;
  }
  scheduler_->Apply(
      now, placement::PutJob{job->spec, ToInstant(now, job->submitted_ms)});
  for (uint32_t n = 0; n < job->tasks.size(); ++n) {
    PutTask(now, {id, n}, job->tasks[n]);
  }
  const bool is_parked = job->state == state::JobState::kParked;
  scheduler_->Apply(now,
                    placement::JobParked{id, is_parked ? job->reason : ""});
  const bool is_ending = job->goal == state::JobGoal::kCancel ||
                         job->goal == state::JobGoal::kFail;
  if (is_ending) {
    scheduler_->Apply(now, placement::RemoveJob{id});
  }
}

void PlacementDriver::PutTask(base::Instant now,
                              const wire::TaskId& id,
                              const state::TaskRecord& task) {
  if (task.state == wire::TaskState::kPending) {
    scheduler_->Apply(now, placement::TaskPending{id});
    return;
  }
  if (!task.IsPlaced()) {
    return;
  }
  scheduler_->Apply(now, placement::TaskAssigned{id, task.attempt, task.worker,
                                                 task.reserved});
  if (task.state != wire::TaskState::kAssigned) {
    scheduler_->Apply(now, placement::TaskRunning{id, task.attempt});
  }
  if (task.state == wire::TaskState::kStopping) {
    scheduler_->Apply(now, placement::TaskStopping{id, task.attempt});
  } else if (task.order != wire::AttemptOrder::kRun) {
    scheduler_->Apply(now,
                      placement::TaskOrdered{id, task.attempt, task.order});
  }
}

void PlacementDriver::OnChanges(base::Instant now,
                                const std::vector<state::Change>& changes) {
  for (const auto& change : changes) {
    std::visit([&](const auto& it) { On(now, it); }, change);
  }
}

void PlacementDriver::On(base::Instant now, const state::Rebuild& /*change*/) {
  placement::PlacementReason why;
  Rebuild(now, why);  // Cannot fail: the same options were valid in Create().
}

void PlacementDriver::On(base::Instant now,
                         const state::DocumentChanged& /*change*/) {
  PutOwners(now);
}

// Entries do not affect placement.
void PlacementDriver::On(base::Instant /*now*/,
                         const state::EntryChanged& /*change*/) {}

void PlacementDriver::On(base::Instant now,
                         const state::WorkerChanged& change) {
  PutWorker(now, change.worker);
}

void PlacementDriver::On(base::Instant now, const state::JobAdded& change) {
  PutJob(now, change.job);
}

void PlacementDriver::On(base::Instant now, const state::JobChanged& change) {
  PutJob(now, change.job);
}

void PlacementDriver::On(base::Instant now, const state::JobEnded& change) {
  scheduler_->Apply(now, placement::RemoveJob{change.job});
}

void PlacementDriver::On(base::Instant now, const state::JobForgotten& change) {
  scheduler_->Apply(now, placement::RemoveJob{change.job});
}

void PlacementDriver::On(base::Instant now, const state::TaskChanged& change) {
  if (IsPlaced(change.before) && !IsPlaced(change.after)) {
    EndAttempt(now, change);
  }
  switch (change.after) {
    case wire::TaskState::kPending:
      scheduler_->Apply(now, placement::TaskPending{change.task});
      break;
    case wire::TaskState::kAssigned:
      scheduler_->Apply(
          now, placement::TaskAssigned{change.task, change.attempt,
                                       change.worker, change.reserved});
      break;
    case wire::TaskState::kRunning:
      scheduler_->Apply(now,
                        placement::TaskRunning{change.task, change.attempt});
      break;
    case wire::TaskState::kStopping:
      scheduler_->Apply(now,
                        placement::TaskStopping{change.task, change.attempt});
      break;
    default:
      break;
  }
}

void PlacementDriver::EndAttempt(base::Instant now,
                                 const state::TaskChanged& change) {
  placement::TaskEnded ended;
  ended.task = change.task;
  ended.attempt = change.attempt;
  ended.outcome = OutcomeOf(change);
  const auto it = ran_ms_.find(change.attempt);
  if (it != ran_ms_.end()) {
    ended.ran_ms = it->second;
    ran_ms_.erase(it);
  }
  scheduler_->Apply(now, ended);
}

void PlacementDriver::OnUsage(base::Instant now,
                              const wire::WorkerHeartbeat& heartbeat) {
  placement::Usage usage;
  usage.worker = heartbeat.worker;
  for (const auto& report : heartbeat.attempts) {
    usage.samples.push_back({report.task, report.attempt, report.usage});
    const state::TaskRecord* task = replica_.machine().FindTask(report.task);
    if (task && task->IsPlaced() && task->attempt == report.attempt) {
      ran_ms_[report.attempt] = report.ran_ms;
    }
  }
  if (!usage.samples.empty()) {
    scheduler_->Apply(now, usage);
  }
}

void PlacementDriver::Plan(base::Instant now) {
  placement::Plan plan = scheduler_->MakePlan(now, {});
  has_more_ = plan.has_more;
  WriteDecisions(plan);
  if (!plan.groups.empty()) {
    ProposeGroups(std::move(plan.groups));
  }
  if (!plan.orders.empty()) {
    ProposeOrders(std::move(plan.orders));
  }
  const auto ignore = [](const ProposeResult&) {};
  for (const auto& park : plan.parks) {
    replica_.Propose(park, ignore);
  }
  for (const auto& quarantine : plan.quarantines) {
    replica_.Propose(quarantine, ignore);
  }
}

std::optional<base::Instant> PlacementDriver::NextDeadline() const {
  return scheduler_->NextDeadline();
}

void PlacementDriver::ProposeGroups(
    std::vector<std::vector<wire::Assignment>> groups) {
  wire::AssignTasks command{groups, kernel::WallNow()};
  replica_.Propose(
      command, [this, alive = std::weak_ptr<bool>(is_alive_),
                proposed = std::move(groups)](const ProposeResult& result) {
        if (alive.expired()) {
          return;
        }
        const auto& details = result.result.details;
        for (size_t n = 0; n < proposed.size(); ++n) {
          const bool is_assigned =
              result.outcome == consensus::Outcome::kCommitted &&
              details.contains("groups") && n < details["groups"].size() &&
              details["groups"][n].value("code", "") == "ok";
          if (is_assigned) {
            continue;
          }
          for (const auto& assignment : proposed[n]) {
            scheduler_->Apply(kernel::MonotonicNow(),
                              placement::AssignmentRefused{assignment.task});
          }
        }
      });
}

void PlacementDriver::ProposeOrders(
    std::vector<wire::OrderAttempts::Item> items) {
  wire::OrderAttempts command{items, kernel::WallNow()};
  replica_.Propose(
      command, [this, alive = std::weak_ptr<bool>(is_alive_),
                proposed = std::move(items)](const ProposeResult& result) {
        const bool is_committed =
            result.outcome == consensus::Outcome::kCommitted;
        if (alive.expired() || !is_committed) {
          return;
        }
        for (const auto& item : proposed) {
          if (item.order != wire::AttemptOrder::kStop) {
            scheduler_->Apply(
                kernel::MonotonicNow(),
                placement::TaskOrdered{item.task, item.attempt, item.order});
          }
        }
      });
}

void PlacementDriver::WriteDecisions(const placement::Plan& plan) const {
  for (const auto& it : plan.decisions) {
    const char* what = kDecisionNames[static_cast<size_t>(it.kind)];
    replica_.metrics().CountDecision(what);
    telemetry::Decision("placement")
        .With("what", what)
        .With("owner", it.owner)
        .With("task", it.task.ToString())
        .With("worker", it.worker)
        .With("candidates", it.candidates)
        .With("waited_us", it.waited)
        .With("why", it.why)
        .Write();
  }
}

}  // namespace sassafras::control
