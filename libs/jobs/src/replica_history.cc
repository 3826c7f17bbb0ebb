// Observes the effects of batches.

#include "jobs/replica_history.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sassafras::jobs {

void ReplicaHistory::OnApplied(const Changes& changes,
                               const JobTable& table,
                               base::Instant now) {
  std::ranges::for_each(changes.done_runs,
                        [this](auto& it) { speed_.OnDone(it); });
  for (const wire::JobId& job : changes.added_jobs) {
    accepted_at_.try_emplace(job, now);
  }
  for (const wire::JobId& job : changes.ended_jobs) {
    accepted_at_.erase(job);
    speed_.OnJobEnded(job);
  }
  if (changes.has_worker_changes) {
    speed_.Prune(table);
  }
}

void ReplicaHistory::OnRestored(const JobTable& table, base::Instant now) {
  const auto earlier = std::exchange(accepted_at_, {});
  for (const JobRecord* job : table.active() | std::views::values) {
    const auto it = earlier.find(job->id);
    accepted_at_.emplace(job->id, it == earlier.end() ? now : it->second);
  }
  speed_.Prune(table);
}

std::optional<base::Instant> ReplicaHistory::AcceptedAt(
    const wire::JobId& job) const {
  const auto it = accepted_at_.find(job);
  return it == accepted_at_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace sassafras::jobs
