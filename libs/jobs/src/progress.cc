// Comparing runs with time and with their siblings.

#include "jobs/progress.h"

#include <algorithm>
#include <chrono>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

constexpr auto kStuckAfter = std::chrono::milliseconds(1500);
// Members of a gang stand still until the last one has come.
constexpr auto kGangStuckAfter = std::chrono::milliseconds(4500);
constexpr int32_t kDonePercent = 100;
// A run that a new leader finds further on than this was begun too long ago to
// tell how long it takes.
constexpr int32_t kFreshPercent = 20;
// A run is slow where what is left would take this many times a whole sibling,
// and the time that a fresh start costs.
constexpr double kSlowFactor = 1.5;
constexpr auto kRestartCost = std::chrono::milliseconds(500);
constexpr auto kEarliestJudgement = std::chrono::milliseconds(700);

}  // namespace

std::vector<Laggard> ProgressWatch::OnLook(std::span<const WatchedRun> runs,
                                           base::Instant now) {
  std::vector<Laggard> laggards;
  for (const WatchedRun& run : runs) {
    const auto [it, is_new] = runs_.try_emplace({run.task, run.run});
    Progress& progress = it->second;
    if (is_new) {
      progress.first_seen = now;
      progress.first_percent = run.percent;
    }
    if (is_new || run.percent != progress.percent) {
      progress.percent = run.percent;
      progress.last_moved = now;
    }
    if (progress.is_named || run.percent >= kDonePercent) {
      continue;
    }
    const base::Duration limit = run.is_gang ? kGangStuckAfter : kStuckAfter;
    const bool is_stuck = now - progress.last_moved >= limit;
    const bool is_slow = !run.is_gang && !moved_.contains(run.task) &&
                         IsSlow(run.task.step, progress, now);
    if (is_stuck || is_slow) {
      progress.is_named = true;
      if (!is_stuck) {
        moved_.insert(run.task);
      }
      laggards.push_back(
          {run.task, run.run, is_stuck ? Lag::kStuck : Lag::kSlow});
    }
  }
  return laggards;
}

bool ProgressWatch::IsSlow(const StepKey& step,
                           const Progress& progress,
                           base::Instant now) const {
  const auto it = done_.find(step);
  const base::Duration elapsed = now - progress.first_seen;
  if (it == done_.end() || elapsed < kEarliestJudgement) {
    return false;
  }
  std::vector<base::Duration> times = it->second;
  const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  const int32_t percent = std::max(progress.percent, 1);
  const base::Duration left = elapsed * (kDonePercent - percent) / percent;
  return left >
         std::chrono::duration_cast<base::Duration>(*middle * kSlowFactor) +
             kRestartCost;
}

void ProgressWatch::OnEnd(const TaskKey& task,
                          uint64_t run,
                          bool is_done,
                          base::Instant now) {
  const auto node = runs_.extract({task, run});
  const bool is_whole =
      !node.empty() && node.mapped().first_percent <= kFreshPercent;
  if (is_whole && is_done) {
    done_[task.step].push_back(now - node.mapped().first_seen);
  }
}

void ProgressWatch::OnJobEnded(const wire::JobId& job) {
  const StepKey first{job, 0, 0};
  EraseJob(done_, job, first, [](auto& it) { return it.first.job; });
  EraseJob(moved_, job, TaskKey{first, 0},
           [](auto& it) { return it.step.job; });
}

}  // namespace sassafras::jobs
