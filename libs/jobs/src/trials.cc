// Keeps the youngest runs of each worker.

#include "jobs/trials.h"

#include <algorithm>
#include <ranges>

namespace sassafras::jobs {

void Trials::OnStart(const StartRun& start,
                     std::span<const CrashRecord> crashes,
                     base::Instant now) {
  const base::Duration closed =
      IsSuspect(crashes) ? TrialTime(crashes) : base::Duration{};
  std::vector<YoungRun>& runs = runs_[start.worker];
  std::erase_if(runs, [&](const YoungRun& it) {
    const bool is_old = now - it.started > kTrialTime && now >= it.closed_until;
    suspects_ -= is_old && it.IsSuspect() ? 1 : 0;
    return is_old;
  });
  runs.push_back({start.task, start.run, now, now + closed});
  suspects_ += runs.back().IsSuspect() ? 1 : 0;
}

void Trials::OnEnd(const EndRun& end) {
  const auto it = runs_.find(end.worker);
  if (it == runs_.end()) {
    return;
  }
  std::erase_if(it->second, [&](const YoungRun& run) {
    const bool has_ended = run.task == end.task && run.run == end.run;
    suspects_ -= has_ended && run.IsSuspect() ? 1 : 0;
    return has_ended;
  });
}

void Trials::Prune(const JobTable& table) {
  std::erase_if(runs_, [&](const auto& entry) {
    const WorkerRecord* record = table.FindWorker(entry.first.id);
    const bool is_gone = record == nullptr || record->info.boot != entry.first;
    if (is_gone) {
      suspects_ -= static_cast<size_t>(
          std::ranges::count_if(entry.second, &YoungRun::IsSuspect));
    }
    return is_gone;
  });
}

std::optional<wire::JobId> Trials::JobOnTrial(const WorkerBoot& worker,
                                              base::Instant now) const {
  const auto it = runs_.find(worker);
  if (it == runs_.end()) {
    return std::nullopt;
  }
  const auto trial = std::ranges::find_if(it->second, [&](const YoungRun& run) {
    return run.IsSuspect() && now < run.closed_until;
  });
  if (trial == it->second.end()) {
    return std::nullopt;
  }
  return trial->task.step.job;
}

std::optional<base::Instant> Trials::LastStartOfOthers(
    const WorkerBoot& worker,
    const wire::JobId& job,
    base::Instant now) const {
  std::optional<base::Instant> last;
  const auto it = runs_.find(worker);
  if (it == runs_.end()) {
    return last;
  }
  for (const YoungRun& run : it->second) {
    if (run.task.step.job != job && now - run.started <= kTrialTime) {
      last = std::max(last.value_or(run.started), run.started);
    }
  }
  return last;
}

}  // namespace sassafras::jobs
