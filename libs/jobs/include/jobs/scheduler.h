// Decides which waiting tasks start on which workers now. Classes of queues go
// by priority, jobs of a class by the time that is left of their objective;
// what can't be placed is passed over by smaller work, and gangs start whole.

#ifndef JOBS_SCHEDULER_H_
#define JOBS_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/types.h"
#include "jobs/worker_health.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

struct Plan {
  std::vector<StartRun> starts;
  std::vector<AdviceWish> wishes;  // the most urgent first
};

// What a plan may use. Each is asked at most once, and only where some step
// could start or needs advice.
struct PlanSources {
  // Workers of the table that were heard and take new work, sorted by id.
  std::function<std::vector<const WorkerRecord*>()> usable_workers;
  // How many hosts can ask a question now.
  std::function<size_t()> idle_advisers;
};

// Not thread-safe. Lives for one term of leadership.
class Scheduler {
 public:
  // A job was accepted at `now`, or was found by a new leader.
  void OnJob(const wire::JobId& job, base::Instant now);
  void OnJobEnded(const wire::JobId& job);
  void OnStart(const StartRun& start, base::Instant now);
  // A run ended, however it did. `table` doesn't know it yet.
  void OnEnd(const JobTable& table, const EndRun& end, base::Instant now);
  // A run stands still or falls behind on that worker, and is to be stopped.
  void OnLag(const TaskKey& task, const WorkerBoot& worker, base::Instant now);

  // Two plans may name the same task only if the first was not carried out.
  Plan MakePlan(const JobTable& table,
                const AdviceBook& advice,
                const PlanSources& sources,
                base::Instant now) const;

 private:
  std::map<wire::JobId, base::Instant> accepted_;
  WorkerHealth health_;
  WorkerSpeed speed_;
  // Workers on which a task of the job failed.
  std::map<wire::JobId, std::map<TaskKey, std::set<wire::WorkerId>>> failed_on_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SCHEDULER_H_
