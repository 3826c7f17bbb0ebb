// Places gangs: all members of one run at once, or none.

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "planner.h"

namespace sassafras::jobs {
namespace {

std::set<std::string> RacksOf(const Pool& eligible) {
  std::set<std::string> racks;
  for (const Candidate* it : eligible) {
    racks.insert(it->info().rack);
  }
  return racks;
}

}  // namespace

// Starts all members or none. A rack-local gang is placed within one rack if a
// rack has enough free capacity, else across racks.
Planner::PlaceResult Planner::PlaceGang(WaitingStep& step,
                                        const Pool& eligible) {
  if (step.spec->is_rack_local) {
    for (const std::string& rack : RacksOf(eligible)) {
      if (TryGang(step, eligible, rack)) {
        return PlaceResult::kPlaced;
      }
    }
  }
  return TryGang(step, eligible, "") ? PlaceResult::kPlaced
                                     : PlaceResult::kNoRoom;
}

// Fills one worker after the other, because a gang ends with the first worker
// that it loses.
bool Planner::TryGang(WaitingStep& step,
                      const Pool& eligible,
                      const std::string& rack) {
  Pool pool;
  std::ranges::copy_if(eligible, std::back_inserter(pool), [&](auto* worker) {
    return rack.empty() || worker->info().rack == rack;
  });
  const std::set<wire::WorkerId> failures = FailuresOfGang(step);
  std::ranges::sort(pool, {}, [&](const Candidate* worker) {
    return std::pair(failures.contains(worker->boot().id),
                     CostOf(step, *worker));
  });
  uint64_t run = 0;
  for (const TaskRecord& task :
       step.record->tasks.started() | std::views::values) {
    run = std::max(run, task.run);
  }
  const size_t members = step.record->tasks.size();
  const bool is_trial = HasSuspects(step);
  if (is_trial) {
    std::erase_if(pool, [&](const Candidate* worker) {
      return LastStartOfOthers(step, *worker).has_value();
    });
  }
  std::vector<std::pair<Candidate*, Candidate>> saved_workers;
  std::vector<StartRun> starts;
  for (Candidate* worker : pool) {
    if (starts.size() < members && HasFreeCapacity(step, *worker)) {
      saved_workers.emplace_back(worker, *worker);
    }
    while (starts.size() < members && HasFreeCapacity(step, *worker)) {
      AddTask(step, *worker);
      if (is_trial) {
        worker->job_on_trial = step.key.job;
      }
      const auto index = static_cast<uint32_t>(starts.size());
      starts.push_back({{step.key, index}, run + 1, worker->boot()});
    }
  }
  if (starts.size() < members) {
    for (auto& [worker, before] : saved_workers) {
      *worker = std::move(before);
    }
    return false;
  }
  CountStarts(step, members);
  std::ranges::move(starts, std::back_inserter(plan_.starts));
  return true;
}

// Returns the workers on which any member of the gang failed.
std::set<wire::WorkerId> Planner::FailuresOfGang(
    const WaitingStep& step) const {
  std::set<wire::WorkerId> failures;
  const auto job = history_.failed_on.find(step.key.job);
  if (job == history_.failed_on.end()) {
    return failures;
  }
  for (const auto& [task, workers] : job->second) {
    if (task.step == step.key) {
      failures.insert(workers.begin(), workers.end());
    }
  }
  return failures;
}

}  // namespace sassafras::jobs
