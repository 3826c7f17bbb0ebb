// An in-memory substitute for the replicated state and the workers. It checks
// and commits plans, ends each attempt after its actual run time, and sends the
// resulting events to the scheduler. Time is simulated.

#ifndef PLACEMENT_TEST_FAKE_CELL_H_
#define PLACEMENT_TEST_FAKE_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/scheduler.h"

namespace sassafras::placement {

struct FakeTask {
  wire::TaskState state = wire::TaskState::kPending;
  wire::AttemptId attempt;
  wire::WorkerId worker;
  wire::Resources reserved;
  wire::AttemptOrder order = wire::AttemptOrder::kRun;
  base::Instant pending_since;
  base::Instant started;
  std::set<wire::WorkerId> failed_workers;
  uint32_t failures = 0;
};

struct FakeJob {
  wire::JobSpec spec;
  base::Instant submitted;
  std::vector<FakeTask> tasks;
  bool is_cancelled = false;
  std::string park_reason;
};

struct FakeWorker {
  PutWorker registration;
  wire::Resources reserved;
  std::set<wire::TaskId> tasks;
};

class FakeCell {
 public:
  explicit FakeCell(const Options& options = {}, uint64_t seed = 1);

  void PutOwner(const std::string& owner,
                uint32_t weight,
                std::optional<wire::Resources> quota = std::nullopt);
  void AddWorker(const std::string& id,
                 const std::string& zone,
                 const std::string& rack,
                 const wire::Resources& capacity);
  void PutWorker(const placement::PutWorker& registration);
  // Removes the worker and ends its attempts as lost, as after an expired
  // lease.
  void RemoveWorker(const wire::WorkerId& id);
  // Returns why the job was rejected, or nullopt if it was accepted.
  std::optional<std::string> Submit(const wire::JobSpec& spec);
  void Cancel(const wire::JobId& id);
  void ReportUsage();

  // Makes and commits plans until one is empty. Sets `violation` if that takes
  // more than 2000 plans.
  void PlanUntilEmpty();
  // Makes and commits one plan and returns it.
  placement::Plan PlanOnce(const PlanLimits& limits = {});
  void Commit(const placement::Plan& plan);
  // Replaces the scheduler by one that is built from the committed state, as
  // after a change of leader.
  void RebuildScheduler(uint64_t seed);
  // Advances time in steps of `step` and plans after each of them.
  void Run(base::Duration duration,
           base::Duration step = std::chrono::milliseconds(100));

  FakeTask& task(const wire::TaskId& id);
  uint32_t CountTasks(const std::string& job, wire::TaskState state);
  // Counts tasks that are running or stopping. The fake cell runs a task as
  // soon as it is assigned.
  uint32_t CountActiveTasks(const std::string& job);
  wire::Resources ReservedByOwner(const std::string& owner) const;
  // Describes the first worker whose reservations exceed its capacity. Returns
  // an empty string if there is none.
  std::string FindOvercommittedWorker() const;

  // How long a task runs. It runs until it is stopped if the function is unset
  // or returns nullopt.
  std::function<std::optional<base::Duration>(const wire::JobSpec&)>
      actual_run_time;
  // Whether an attempt fails; it does so `fail_after` after its start.
  std::function<bool(const wire::TaskId&, const wire::WorkerId&)> should_fail;
  base::Duration fail_after = std::chrono::milliseconds(500);
  // The resources that an attempt uses; what it reserves if unset.
  std::function<wire::Resources(const FakeJob&, const FakeTask&)> actual_usage;
  // Called at each start of an attempt, with the time that the task was
  // pending.
  std::function<void(const wire::TaskId&, base::Duration)> on_task_start;
  base::Duration stop_delay = std::chrono::milliseconds(200);

  Scheduler scheduler;
  base::Instant now{std::chrono::hours(1)};
  std::map<wire::JobId, FakeJob> jobs;
  std::map<wire::WorkerId, FakeWorker> workers;
  std::vector<Decision> decisions;
  std::map<std::string, placement::PutOwner> owners;
  std::set<wire::WorkerId> quarantined;
  uint64_t refused_groups = 0;
  uint64_t placements = 0;
  uint64_t preemptions = 0;
  // An invariant that a plan violated and that the committed state doesn't
  // show. Empty if there was no violation.
  std::string violation;

 private:
  struct ScheduledEnd {
    wire::TaskId task;
    wire::AttemptId attempt;
    TaskOutcome outcome;
  };

  bool MayCommit(const std::vector<wire::Assignment>& group) const;
  void CommitGroup(const std::vector<wire::Assignment>& group);
  void CommitOrder(const wire::OrderAttempts::Item& item);
  void EndAttempt(const ScheduledEnd& scheduled_end);
  void Apply(const Event& event) { scheduler.Apply(now, event); }

  std::multimap<base::Instant, ScheduledEnd> scheduled_ends_;
  Options options_;
  uint64_t next_attempt_ = 1;
};

// Capacities of the usual workers in the tests, without and with accelerators.
inline constexpr wire::Resources kPlainCapacity{16'000, 32'768, 0};
inline constexpr wire::Resources kGpuCapacity{32'000, 131'072, 8};

// Adds `per_zone` workers, spread over two racks, to each of three zones.
void AddWorkers(FakeCell& cell,
                uint32_t per_zone,
                const wire::Resources& capacity,
                const std::string& prefix = "w");

// Returns a batch job with default values in all other fields.
wire::JobSpec MakeBatchJob(const std::string& id,
                           const std::string& owner,
                           const wire::Resources& per_task,
                           uint32_t tasks = 1);
wire::JobSpec MakeServiceJob(const std::string& id,
                             const std::string& owner,
                             const wire::Resources& per_task,
                             uint32_t tasks);
wire::JobSpec MakeGangJob(const std::string& id,
                          const std::string& owner,
                          const wire::Resources& per_task,
                          uint32_t tasks);

}  // namespace sassafras::placement

#endif  // PLACEMENT_TEST_FAKE_CELL_H_
