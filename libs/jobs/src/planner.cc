// Order of waiting steps, and the choice of workers.

#include "planner.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <ranges>

namespace sassafras::jobs {
namespace {

// Past this many times its objective a job has no value to its caller, and
// waits behind those that have.
constexpr double kLateLimit = 3;
// Advice on what follows a step this short is asked for as soon as it runs.
constexpr int64_t kShortStepMs = 1000;
// Objectives of at most this many times the work leave little time to spare.
constexpr double kUrgentStretch = 2.5;

// Estimated time of the longest chain of steps.
int64_t ChainMs(const JobSpec& spec) {
  std::vector<int64_t> ends;
  for (const StepSpec& step : spec.steps) {
    int64_t begin = 0;
    for (const uint32_t earlier : step.after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + step.estimate_ms);
  }
  return ends.empty() ? 0 : *std::ranges::max_element(ends);
}

// Whether the steps that `step` waits for will be done before long: tickets
// that are asked for now would still be valid.
bool IsNearlyReady(const JobSpec& spec,
                   const std::vector<StepRecord>& steps,
                   uint32_t step) {
  return std::ranges::all_of(spec.steps[step].after, [&](uint32_t earlier) {
    const StepRecord& record = steps[earlier];
    const size_t done = record.done;
    const bool is_running = done + record.open == record.tasks.size();
    return is_running && (2 * done >= record.tasks.size() ||
                          spec.steps[earlier].estimate_ms <= kShortStepMs);
  });
}

// Work that has little time to spare goes to fast workers, and other work
// leaves them to it. Lower is better.
uint32_t PaceRank(const WaitingStep& step, Pace pace) {
  const bool is_urgent =
      !step.spec->is_lasting && step.queue->stretch <= kUrgentStretch;
  switch (pace) {
    case Pace::kUsual:
      return is_urgent ? 0 : 1;
    case Pace::kSlow:
      return is_urgent ? 1 : 0;
    case Pace::kVerySlow:
      break;
  }
  return 2;
}

std::set<std::string> RacksOf(const Pool& able) {
  std::set<std::string> racks;
  for (const Candidate* it : able) {
    racks.insert(it->info().rack);
  }
  return racks;
}

void Take(const WaitingStep& step, Candidate& worker) {
  worker.room -= step.spec->Charge();
  worker.has_fillers |= step.spec->is_filler;
  worker.has_served |= step.spec->IsServed();
  if (step.spec->max_per_worker > 0) {
    ++worker.of_step[step.key];
  }
}

// Smaller work would fill every gap before a gang, or a task that takes most
// of a worker, finds one.
bool IsHardToPlace(const WaitingStep& step, const Pool& able) {
  Resources twice = step.spec->Charge();
  twice += step.spec->Charge();
  return step.spec->is_gang ||
         std::ranges::none_of(able, [&](const Candidate* worker) {
           return twice.Fits(worker->info().capacity);
         });
}

}  // namespace

bool IsEligible(const WaitingStep& step, const Candidate& worker) {
  const std::string& label = step.spec->required_label;
  const auto& labels = worker.info().labels;
  return (label.empty() || std::ranges::find(labels, label) != labels.end()) &&
         step.spec->Charge().Fits(worker.info().capacity);
}

bool HasRoom(const WaitingStep& step, const Candidate& worker) {
  if (worker.is_reserved || !step.spec->Charge().Fits(worker.room)) {
    return false;
  }
  if (step.spec->max_per_worker == 0) {
    return true;
  }
  const auto it = worker.of_step.find(step.key);
  return it == worker.of_step.end() || it->second < step.spec->max_per_worker;
}

PlacementCost CostOf(const WaitingStep& step, const Candidate& worker) {
  const bool is_far = !step.spec->data_rack.empty() &&
                      worker.info().rack != step.spec->data_rack;
  const bool is_disturbed = (step.spec->is_filler && worker.has_served) ||
                            (step.spec->IsServed() && worker.has_fillers);
  return {worker.is_suspect,
          is_disturbed,
          is_far,
          PaceRank(step, worker.pace),
          worker.room.accelerators - step.spec->need.accelerators,
          -worker.room.cpu_milli};
}

size_t MembersIn(const WaitingStep& step, Resources room) {
  const Resources charge = step.spec->Charge();
  size_t members = 0;
  while (members < step.spec->count && charge.Fits(room)) {
    room -= charge;
    ++members;
  }
  return members;
}

Planner::Planner(const JobTable& table,
                 const AdviceBook& advice,
                 const Memory& memory,
                 base::Instant now)
    : table_(table), advice_(advice), memory_(memory), now_(now) {}

Plan Planner::Make(const PlanSources& sources) {
  CollectSteps();
  if (steps_.empty() && coming_.empty()) {
    return {};
  }
  idle_advisers_ = sources.idle_advisers();
  CollectWorkers(sources.usable_workers());
  std::ranges::sort(steps_, {}, &WaitingStep::Rank);
  for (const WaitingStep& step : steps_) {
    Place(step);
  }
  std::ranges::sort(coming_, {}, &WaitingStep::Rank);
  for (const WaitingStep& step : coming_) {
    if (CanAskAbout(step)) {
      Wish(step);
    }
  }
  return std::move(plan_);
}

// --- collecting ---

void Planner::CollectWorkers(std::span<const WorkerRecord* const> usable) {
  for (const WorkerRecord* record : usable) {
    if (!record->info.is_draining &&
        !memory_.health.IsSetAside(record->info.boot, now_)) {
      workers_.push_back(MakeCandidate(*record));
    }
  }
  for (Candidate& worker : workers_) {
    pools_[worker.info().service].push_back(&worker);
  }
}

Candidate Planner::MakeCandidate(const WorkerRecord& record) const {
  Candidate candidate;
  candidate.record = &record;
  candidate.room = record.info.capacity;
  candidate.is_suspect = memory_.health.IsSuspect(record.info.boot);
  candidate.pace = memory_.speed.PaceOf(record.info.boot);
  for (const OpenRun& run : record.runs) {
    candidate.room -= run.charge;
    candidate.has_fillers |= run.is_filler;
    candidate.has_served |= run.is_served;
    if (run.is_limited) {
      ++candidate.of_step[run.task.step];
    }
  }
  return candidate;
}

void Planner::CollectSteps() {
  for (const JobRecord* job : table_.active() | std::views::values) {
    const Queue* queue = table_.FindQueue(job->queue);
    if (queue == nullptr) {
      continue;
    }
    for (const auto& [occurrence, steps] : job->occurrences) {
      CollectSteps(*job, *queue, occurrence, steps);
    }
  }
}

void Planner::CollectSteps(const JobRecord& job,
                           const Queue& queue,
                           uint64_t occurrence,
                           const std::vector<StepRecord>& steps) {
  for (uint32_t n = 0; n < steps.size(); ++n) {
    const StepRecord& record = steps[n];
    const StepSpec& spec = job.spec.steps[n];
    const size_t waiting = record.tasks.size() - record.done - record.open;
    const bool may_start = spec.is_gang ? record.open == 0 : waiting > 0;
    if (record.IsDone() || !may_start) {
      continue;
    }
    const bool is_ready = IsStepReady(job.spec, steps, n);
    if (!is_ready &&
        !(queue.advice.is_required && IsNearlyReady(job.spec, steps, n))) {
      continue;
    }
    WaitingStep step{&job, &queue, &spec, &record, {job.id, occurrence, n}};
    const bool is_known = queue.advice.is_required && advice_.IsKnown(step.key);
    const bool awaits_advice =
        queue.advice.is_required && !is_known && advice_.IsAsked(step.key);
    if (awaits_advice || (!is_ready && is_known)) {
      continue;
    }
    SetDue(step);
    (is_ready ? steps_ : coming_).push_back(std::move(step));
  }
}

void Planner::SetDue(WaitingStep& step) const {
  const auto it = memory_.accepted.find(step.job->id);
  const base::Instant accepted =
      it == memory_.accepted.end() ? now_ : it->second;
  const std::chrono::duration<double, std::milli> objective(
      step.queue->stretch * static_cast<double>(ChainMs(step.job->spec)) +
      static_cast<double>(step.queue->target_latency_ms));
  const auto length = std::chrono::duration_cast<base::Duration>(objective);
  step.due = accepted + length;
  const bool is_recurring = step.job->spec.IsRecurring();
  step.is_hopeless =
      !step.spec->is_lasting && !is_recurring &&
      now_ > accepted + std::chrono::duration_cast<base::Duration>(objective *
                                                                   kLateLimit);
}

// --- placing ---

void Planner::Place(const WaitingStep& step) {
  const Pool able = AbleWorkers(step);
  const size_t before = plan_.starts.size();
  if (step.spec->is_gang) {
    PlaceGang(step, able);
  } else {
    PlaceTasks(step, able);
  }
  const size_t wanted =
      step.record->tasks.size() - step.record->done - step.record->open;
  if (plan_.starts.size() - before >= wanted) {
    return;
  }
  if (CanAskAbout(step)) {
    Wish(step);
  }
  if (!able.empty() && IsHardToPlace(step, able)) {
    Reserve(step, able);
  }
}

// The workers that may run the step, and could if they were empty.
Pool Planner::AbleWorkers(const WaitingStep& step) {
  Pool able;
  if (step.queue->advice.is_required) {
    for (const WorkerBoot* boot : advice_.Allowed(step.key, now_)) {
      if (Candidate* worker = FindCandidate(*boot)) {
        able.push_back(worker);
      }
    }
  } else {
    able = PoolOf(step);
  }
  std::erase_if(able, [&](const Candidate* worker) {
    return !IsEligible(step, *worker);
  });
  return able;
}

Candidate* Planner::FindCandidate(const WorkerBoot& boot) {
  const auto id_of = [](const Candidate& it) -> const wire::WorkerId& {
    return it.boot().id;
  };
  const auto it = std::ranges::lower_bound(workers_, boot.id, {}, id_of);
  return it != workers_.end() && it->boot() == boot ? &*it : nullptr;
}

const Pool& Planner::PoolOf(const WaitingStep& step) {
  return pools_[step.queue->service];
}

void Planner::PlaceTasks(const WaitingStep& step, const Pool& able) {
  for (uint32_t n = 0; n < step.record->tasks.size(); ++n) {
    const TaskRecord& task = step.record->tasks[n];
    if (task.is_done || task.is_open) {
      continue;
    }
    Candidate* worker = Choose(step, {step.key, n}, able);
    if (worker == nullptr) {
      return;
    }
    Take(step, *worker);
    plan_.starts.push_back({{step.key, n}, task.run + 1, worker->boot()});
  }
}

// All members, or none; within one rack where the members need that and a
// rack has room.
void Planner::PlaceGang(const WaitingStep& step, const Pool& able) {
  if (step.spec->is_rack_local) {
    for (const std::string& rack : RacksOf(able)) {
      if (TryGang(step, able, rack)) {
        return;
      }
    }
  }
  TryGang(step, able, "");
}

bool Planner::TryGang(const WaitingStep& step,
                      const Pool& able,
                      const std::string& rack) {
  std::vector<std::pair<Candidate*, Candidate>> untouched;
  std::vector<StartRun> starts;
  uint64_t run = 0;
  for (const TaskRecord& task : step.record->tasks) {
    run = std::max(run, task.run);
  }
  for (uint32_t n = 0; n < step.record->tasks.size(); ++n) {
    Candidate* worker = Choose(step, {step.key, n}, able, rack);
    if (worker == nullptr) {
      for (auto& [it, before] : untouched | std::views::reverse) {
        *it = std::move(before);
      }
      return false;
    }
    untouched.emplace_back(worker, *worker);
    Take(step, *worker);
    starts.push_back({{step.key, n}, run + 1, worker->boot()});
  }
  std::ranges::move(starts, std::back_inserter(plan_.starts));
  return true;
}

// The workers on which the task failed; null where there are none.
const std::set<wire::WorkerId>* Planner::FailuresOf(const TaskKey& task) const {
  const auto job = memory_.failed_on.find(task.step.job);
  if (job == memory_.failed_on.end()) {
    return nullptr;
  }
  const auto it = job->second.find(task);
  return it == job->second.end() ? nullptr : &it->second;
}

// The cheapest worker with room, best one on which the task didn't fail.
Candidate* Planner::Choose(const WaitingStep& step,
                           const TaskKey& task,
                           const Pool& able,
                           const std::string& rack) const {
  const std::set<wire::WorkerId>* failures = FailuresOf(task);
  Candidate* best = nullptr;
  std::pair<bool, PlacementCost> best_cost;
  for (Candidate* worker : able) {
    if (!HasRoom(step, *worker) ||
        (!rack.empty() && worker->info().rack != rack)) {
      continue;
    }
    const bool has_failed =
        failures != nullptr && failures->contains(worker->boot().id);
    const std::pair cost(has_failed, CostOf(step, *worker));
    if (best == nullptr || cost < best_cost) {
      best = worker;
      best_cost = cost;
    }
  }
  return best;
}

// Keeps what ranks behind the step off the workers that will have room for
// it soonest. At most half of the pool is kept.
void Planner::Reserve(const WaitingStep& step, Pool able) {
  const Pool& pool = PoolOf(step);
  std::ranges::sort(able, std::greater(), [](const Candidate* worker) {
    return std::tuple(worker->is_reserved, worker->room.accelerators,
                      worker->room.cpu_milli);
  });
  auto kept = static_cast<size_t>(
      std::ranges::count(pool, true, &Candidate::is_reserved));
  size_t missing = step.record->tasks.size();
  for (Candidate* worker : able) {
    if (missing == 0 || 2 * (kept + 1) > pool.size()) {
      return;
    }
    kept += worker->is_reserved ? 0 : 1;
    worker->is_reserved = true;
    missing -= std::min(missing, MembersIn(step, worker->info().capacity));
  }
}

}  // namespace sassafras::jobs
