// Reports what steps that are hard to place lack.

#include <algorithm>

#include "planner.h"

namespace sassafras::jobs {

void Planner::NoteWaiting(const WaitingStep& step, WaitReason reason) {
  plan_.waiting.push_back({step.key, reason, {}});
  if (reports_room_ && IsHardToPlace(step, PoolOf(step))) {
    plan_.waiting.back().room = MakeRoomReport(step);
  }
}

RoomReport Planner::MakeRoomReport(const WaitingStep& step) {
  RoomReport report;
  report.needed = step.UnitSize();
  report.answered_workers = advice_.AnsweredWorkers(step.key).size();
  for (const Candidate* worker : PoolOf(step)) {
    report.room_in_pool += CountFittingNow(step, *worker);
    report.reserved_workers += worker->reserved_for == step.key ? 1 : 0;
  }
  for (const Candidate* worker : PermittedWorkers(step)) {
    ++report.permitted_workers;
    const size_t fitting = CountFittingNow(step, *worker);
    report.room_permitted += fitting;
    report.room_unreserved += IsOpenTo(step, *worker) ? fitting : 0;
    report.room_if_empty += CountFitting(step, worker->info().capacity);
  }
  for (const Candidate* worker : EligibleWorkers(step)) {
    report.room_with_ticket +=
        IsOpenTo(step, *worker) ? CountFittingNow(step, *worker) : 0;
  }
  for (size_t RoomReport::*const room :
       {&RoomReport::room_in_pool, &RoomReport::room_permitted,
        &RoomReport::room_unreserved, &RoomReport::room_with_ticket,
        &RoomReport::room_if_empty}) {
    report.*room = std::min<size_t>(report.*room, step.spec->count);
  }
  report.is_late = step.due.is_late;
  const auto timing = history_.timings.find(step.job->id);
  if (timing != history_.timings.end()) {
    report.waited = now_ - timing->second.accepted_at();
  }
  return report;
}

}  // namespace sassafras::jobs
