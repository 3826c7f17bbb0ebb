// Reserves workers for jobs that other work would otherwise keep out: gangs,
// and any job that has waited for too long.
//
// At most one job of the cell has a reservation, and all other work is placed
// in one step or not at all. This prevents a deadlock of two gangs that each
// hold capacity that the other needs. A reservation expires after a bounded
// time, and the next one goes to the job with the fewest unsuccessful
// reservations.

#ifndef PLACEMENT_RESERVATION_H_
#define PLACEMENT_RESERVATION_H_

#include <optional>
#include <vector>

#include "plan_context.h"
#include "preemption.h"

namespace sassafras::placement {

class Reservation {
 public:
  // Advances the current reservation: starts its job, evicts other work for it
  // or ends it. Creates a new reservation if there is none.
  void Run(PlanContext& context, bool has_freed);

  // Places one task of the job in reserved capacity if it is expected to end
  // before the reserving job can start. Returns whether it was placed.
  bool Backfill(PlanContext& context, Job& job);

 private:
  // A worker that can hold one more task of the job from the time `at` on.
  struct ExpectedFit {
    base::Instant at;
    Worker* worker = nullptr;
  };

  // Ends the reservation if it has expired, otherwise evicts for it.
  void Continue(PlanContext& context, Job& job);
  // Reserves workers for the job if enough of them can hold its tasks once
  // other work has ended. Members of a gang that still run are evicted first.
  void Create(PlanContext& context, Job& job);
  void Release(Cell& cell, Job& job);
  // Places the job if it fits now. Returns whether it was placed.
  bool TryStart(PlanContext& context, Job& job);
  void EvictForJob(PlanContext& context, Job& job);
  // Evicts backfill tasks once they alone keep the job from starting.
  void EvictBackfill(PlanContext& context, Job& job);
  // Returns the job that may reserve workers next; null if there is none.
  Job* FindCandidate(PlanContext& context);
  std::vector<ExpectedFit> FindExpectedFits(PlanContext& context,
                                            const Job& job);
  void AddExpectedFits(PlanContext& context,
                       const Job& job,
                       const Preemptor& preemptor,
                       Worker& worker,
                       std::vector<ExpectedFit>& fits);

  wire::JobId holder_;  // the reserving job; empty if there is none
  base::Instant expires_at_;
  // When all of the reserved capacity is expected to be free; nullopt if a task
  // in the way has no expected end.
  std::optional<base::Instant> expected_start_;
  base::Instant next_candidate_search_;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_RESERVATION_H_
