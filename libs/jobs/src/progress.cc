// Detects stuck runs and stragglers.

#include "jobs/progress.h"

#include <algorithm>
#include <chrono>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

constexpr auto kStuckAfter = std::chrono::milliseconds(1500);
// Gang members make no progress until the last member has started.
constexpr auto kGangStuckAfter = std::chrono::milliseconds(4500);
constexpr int32_t kDonePercent = 100;
// Upper limit of the progress at which a run was first seen for its duration to
// be recorded. A run that a new leader finds further on started too long ago.
constexpr int32_t kMaxFirstPercent = 20;
// A run is a straggler if its estimated remaining time exceeds this multiple of
// the median sibling time plus the cost of a restart.
constexpr double kSlowFactor = 1.5;
constexpr auto kRestartCost = std::chrono::milliseconds(500);
constexpr auto kMinElapsed = std::chrono::milliseconds(700);

}  // namespace

std::vector<Straggler> ProgressMonitor::OnPoll(
    std::span<const MonitoredRun> runs,
    base::Instant now) {
  std::vector<Straggler> stragglers;
  for (const MonitoredRun& run : runs) {
    const auto [it, is_new] = runs_.try_emplace({run.task, run.run});
    Progress& progress = it->second;
    if (is_new) {
      progress.first_seen = now;
      progress.first_percent = run.percent;
    }
    if (is_new || run.percent != progress.percent) {
      progress.percent = run.percent;
      progress.last_progress = now;
    }
    if (progress.is_reported || run.percent >= kDonePercent) {
      continue;
    }
    const base::Duration limit = run.is_gang ? kGangStuckAfter : kStuckAfter;
    const bool is_stuck = now - progress.last_progress >= limit;
    const bool is_slow = !run.is_gang && !reported_slow_.contains(run.task) &&
                         IsSlow(run.task.step, progress, now);
    if (is_stuck || is_slow) {
      progress.is_reported = true;
      if (!is_stuck) {
        reported_slow_.insert(run.task);
      }
      stragglers.push_back(
          {run.task, run.run,
           is_stuck ? StragglerKind::kStuck : StragglerKind::kSlow});
    }
  }
  return stragglers;
}

void ProgressMonitor::OnGoesOn(const TaskKey& task, uint64_t run) {
  const auto it = runs_.find({task, run});
  if (it != runs_.end()) {
    it->second.is_reported = false;
  }
}

bool ProgressMonitor::IsSlow(const StepKey& step,
                             const Progress& progress,
                             base::Instant now) const {
  const auto it = completed_times_.find(step);
  const base::Duration elapsed = now - progress.first_seen;
  if (it == completed_times_.end() || elapsed < kMinElapsed) {
    return false;
  }
  std::vector<base::Duration> times = it->second;
  const auto median = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, median);
  const int32_t percent = std::max(progress.percent, 1);
  const base::Duration left = elapsed * (kDonePercent - percent) / percent;
  return left >
         std::chrono::duration_cast<base::Duration>(*median * kSlowFactor) +
             kRestartCost;
}

void ProgressMonitor::OnEnd(const TaskKey& task,
                            uint64_t run,
                            bool is_done,
                            base::Instant now) {
  const auto node = runs_.extract({task, run});
  const bool was_seen_early =
      !node.empty() && node.mapped().first_percent <= kMaxFirstPercent;
  if (was_seen_early && is_done) {
    completed_times_[task.step].push_back(now - node.mapped().first_seen);
  }
}

void ProgressMonitor::OnJobEnded(const wire::JobId& job) {
  const StepKey first{job, 0, 0};
  EraseJob(completed_times_, job, first, [](auto& it) { return it.first.job; });
  EraseJob(reported_slow_, job, TaskKey{first, 0},
           [](auto& it) { return it.step.job; });
}

}  // namespace sassafras::jobs
