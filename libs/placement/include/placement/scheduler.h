// The placement scheduler: decides which task runs on which worker, and which
// attempts are preempted. It only makes plans; the replicated state validates
// every assignment again when it applies it.

#ifndef PLACEMENT_SCHEDULER_H_
#define PLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/events.h"
#include "placement/options.h"
#include "placement/plan.h"
#include "wire/job.h"

namespace sassafras::placement {

// Not thread-safe. Deterministic: the same seed, events, times and limits give
// the same plans. `now` must not go backwards.
class Scheduler {
 public:
  // On error returns nullopt and sets `why` to kBadOptions, with the option and
  // its allowed range.
  static std::optional<Scheduler> Create(const Options& options,
                                         uint64_t seed,
                                         PlacementReason& why);

  Scheduler(Scheduler&& other) noexcept;
  Scheduler& operator=(Scheduler&& other) noexcept;
  ~Scheduler();

  // Applies one event. Events with unknown ids or stale attempts are ignored.
  void Apply(base::Instant now, const Event& event);

  // Returns the commands to propose now. A task in `groups` stays in flight,
  // and is not proposed again, until a TaskAssigned or AssignmentRefused event
  // names it. Orders are repeated after Options::order_retry_interval until
  // they are committed.
  Plan MakePlan(base::Instant now, const PlanLimits& limits);

  // Latest time of the next call of MakePlan if no event arrives before, for
  // the deadlines of orders, probes and reservations. nullopt: no call is
  // needed before the next event.
  std::optional<base::Instant> NextDeadline() const;

  // Returns why the job can't run with the current workers and quotas, even if
  // nothing else ran. The text names the resource and the limit. nullopt: the
  // job can run.
  std::optional<std::string> WhyInfeasible(const wire::JobSpec& spec) const;

  std::vector<OwnerReport> ReportOwners(base::Instant now) const;
  std::vector<WorkerReport> ReportWorkers() const;

  // Returns what a task of the job would reserve if it were placed now: the
  // larger of the declared and the estimated use. Batch and gang tasks of a
  // workload with enough successful attempts may reserve fewer processors than
  // declared, see Options::usage_min_done.
  wire::Resources TaskReservation(const wire::JobSpec& spec) const;

 private:
  class Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_SCHEDULER_H_
