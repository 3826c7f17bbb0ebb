// Builds one plan: puts the waiting steps in order, chooses workers for their
// tasks, keeps room for what is hard to place, and wishes for advice.

#ifndef JOBS_SRC_PLANNER_H_
#define JOBS_SRC_PLANNER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/scheduler.h"
#include "jobs/types.h"
#include "jobs/worker_health.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

// One worker while a plan is made.
struct Candidate {
  const WorkerRecord* record = nullptr;
  Resources room;
  Resources wished;         // of `room`, for steps that ask for advice
  bool is_suspect = false;  // failed what it ran last
  Pace pace = Pace::kUsual;
  bool is_reserved = false;  // for work that ranks before what comes now
  bool has_fillers = false;
  bool has_served = false;  // lasting tasks with users of their own
  // Tasks here, of steps with a limit for each worker.
  std::map<StepKey, uint32_t> of_step;

  const WorkerInfo& info() const { return record->info; }
  const WorkerBoot& boot() const { return record->info.boot; }
};

using Pool = std::vector<Candidate*>;

// A step with tasks to start, in the order in which it is served.
struct WaitingStep {
  const JobRecord* job = nullptr;
  const Queue* queue = nullptr;
  const StepSpec* spec = nullptr;
  const StepRecord* record = nullptr;
  StepKey key;
  bool is_hopeless = false;
  base::Instant due;

  auto Rank() const {
    return std::tuple(is_hopeless, queue->priority, due, job->order, key.step);
  }
};

// Lower is better: not where others fail now, apart from work that it would
// disturb or be disturbed by, near the data, on workers of the right speed,
// accelerators packed, processors spread.
struct PlacementCost {
  bool is_suspect = false;
  bool is_disturbed = false;
  bool is_far = false;
  uint32_t pace_rank = 0;
  int64_t accelerators_left = 0;
  int64_t cpu_taken = 0;  // less the more room there is

  friend auto operator<=>(const PlacementCost&, const PlacementCost&) = default;
};

// Whether the worker could run the step if it were empty.
bool IsEligible(const WaitingStep& step, const Candidate& worker);
// Whether a task of the step fits there now.
bool HasRoom(const WaitingStep& step, const Candidate& worker);
PlacementCost CostOf(const WaitingStep& step, const Candidate& worker);
// Tasks of the step that fit into `room`.
size_t MembersIn(const WaitingStep& step, Resources room);

// Workers on which a task of a job failed.
using FailedOn =
    std::map<wire::JobId, std::map<TaskKey, std::set<wire::WorkerId>>>;

// What the scheduler remembers, as plans read it.
struct Memory {
  const std::map<wire::JobId, base::Instant>& accepted;
  const WorkerHealth& health;
  const WorkerSpeed& speed;
  const FailedOn& failed_on;
};

// Used for one plan. Not thread-safe; refers to what it is made from.
class Planner {
 public:
  Planner(const JobTable& table,
          const AdviceBook& advice,
          const Memory& memory,
          base::Instant now);

  Plan Make(const PlanSources& sources);

 private:
  // A worker that a question may name.
  struct Nominee {
    Candidate* worker = nullptr;
    size_t members = 0;  // of the step, in the room that no other wish claims
  };

  void CollectWorkers(std::span<const WorkerRecord* const> usable);
  Candidate MakeCandidate(const WorkerRecord& record) const;
  void CollectSteps();
  void CollectSteps(const JobRecord& job,
                    const Queue& queue,
                    uint64_t occurrence,
                    const std::vector<StepRecord>& steps);
  void SetDue(WaitingStep& step) const;

  void Place(const WaitingStep& step);
  Pool AbleWorkers(const WaitingStep& step);
  Candidate* FindCandidate(const WorkerBoot& boot);
  const Pool& PoolOf(const WaitingStep& step);
  void PlaceTasks(const WaitingStep& step, const Pool& able);
  void PlaceGang(const WaitingStep& step, const Pool& able);
  bool TryGang(const WaitingStep& step,
               const Pool& able,
               const std::string& rack);
  const std::set<wire::WorkerId>* FailuresOf(const TaskKey& task) const;
  Candidate* Choose(const WaitingStep& step,
                    const TaskKey& task,
                    const Pool& able,
                    const std::string& rack = "") const;
  void Reserve(const WaitingStep& step, Pool able);

  bool CanAskAbout(const WaitingStep& step) const;
  void Wish(const WaitingStep& step);
  void AddWish(const WaitingStep& step,
               std::vector<Nominee> nominees,
               size_t claimed);
  static size_t CountMembers(std::span<const Nominee> nominees);

  const JobTable& table_;
  const AdviceBook& advice_;
  const Memory& memory_;
  const base::Instant now_;
  std::vector<Candidate> workers_;         // sorted by id; fixed once collected
  std::map<wire::ServiceId, Pool> pools_;  // into `workers_`
  std::vector<WaitingStep> steps_;
  std::vector<WaitingStep> coming_;  // about to be ready, and nothing is known
  size_t idle_advisers_ = 0;
  size_t eager_wishes_ = 0;  // without room for the step
  Plan plan_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_PLANNER_H_
