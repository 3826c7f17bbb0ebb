// Order of waiting steps, and the choice of workers.

#include "jobs/scheduler.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <ranges>
#include <tuple>
#include <utility>

namespace sassafras::jobs {
namespace {

// Past this many times its objective a job has no value to its caller, and
// waits behind those that have.
constexpr double kLateLimit = 3;
// Workers named in one wish for advice.
constexpr size_t kMaxCandidates = 50;
constexpr size_t kMaxEagerWishes = 4;

// One worker while a plan is made.
struct Candidate {
  const WorkerRecord* record = nullptr;
  Resources room;
  Resources wished;          // of `room`, for steps that ask for advice
  bool is_suspect = false;   // failed what it ran last
  bool is_reserved = false;  // for work that ranks before what comes now
  bool has_fillers = false;
  bool has_served = false;              // lasting tasks with users of their own
  std::map<StepKey, uint32_t> of_step;  // of steps with a limit

  const WorkerBoot& boot() const { return record->info.boot; }
  bool HasLabel(const std::string& label) const {
    return std::ranges::find(record->info.labels, label) !=
           record->info.labels.end();
  }
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

// What the scheduler remembers, as plans read it.
struct Memory {
  const std::map<wire::JobId, base::Instant>& accepted;
  const WorkerHealth& health;
  const std::map<wire::JobId, std::map<TaskKey, std::set<wire::WorkerId>>>&
      failed_on;
};

// Builds one plan.
class Planner {
 public:
  Planner(const JobTable& table,
          const AdviceBook& advice,
          const Memory& memory,
          base::Instant now)
      : table_(table), advice_(advice), memory_(memory), now_(now) {}

  Plan Make(const std::set<wire::WorkerId>& usable) {
    CollectWorkers(usable);
    CollectSteps();
    std::ranges::sort(steps_, {}, &WaitingStep::Rank);
    for (const WaitingStep& step : steps_) {
      Place(step);
    }
    return std::move(plan_);
  }

 private:
  void CollectWorkers(const std::set<wire::WorkerId>& usable) {
    for (const auto& [id, record] : table_.workers()) {
      const bool is_open = usable.contains(id) && !record.info.is_draining &&
                           !memory_.health.IsSetAside(record.info.boot, now_);
      if (is_open) {
        workers_[record.info.service].push_back(MakeCandidate(record));
      }
    }
    for (auto& pool : workers_ | std::views::values) {
      for (Candidate& worker : pool) {
        by_id_.emplace(worker.boot().id, &worker);
      }
    }
  }

  Candidate MakeCandidate(const WorkerRecord& record) const {
    Candidate candidate;
    candidate.record = &record;
    candidate.room = record.info.capacity;
    candidate.is_suspect = memory_.health.IsSuspect(record.info.boot);
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

  void CollectSteps() {
    for (const wire::JobId& id : table_.active() | std::views::values) {
      const JobRecord& job = *table_.FindJob(id);
      const Queue* queue = table_.FindQueue(job.queue);
      if (queue == nullptr) {
        continue;
      }
      for (const auto& [occurrence, steps] : job.occurrences) {
        CollectSteps(job, *queue, occurrence, steps);
      }
    }
  }

  void CollectSteps(const JobRecord& job,
                    const Queue& queue,
                    uint64_t occurrence,
                    const std::vector<StepRecord>& steps) {
    for (uint32_t n = 0; n < steps.size(); ++n) {
      const StepRecord& record = steps[n];
      const StepSpec& spec = job.spec.steps[n];
      const size_t waiting = record.tasks.size() - record.done - record.open;
      const bool may_start = spec.is_gang ? record.open == 0 : waiting > 0;
      if (record.IsDone() || !may_start || !IsStepReady(job.spec, steps, n)) {
        continue;
      }
      WaitingStep step{&job, &queue, &spec, &record, {job.id, occurrence, n}};
      SetDue(step);
      steps_.push_back(step);
    }
  }

  void SetDue(WaitingStep& step) const {
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
        now_ > accepted + std::chrono::duration_cast<base::Duration>(
                              objective * kLateLimit);
  }

  void Place(const WaitingStep& step) {
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
    if (step.queue->advice.is_required && !advice_.IsAsked(step.key)) {
      Wish(step);
    }
    if (!able.empty() && IsHardToPlace(step, able)) {
      Reserve(step, able);
    }
  }

  // The workers that may run the step, and could if they were empty.
  Pool AbleWorkers(const WaitingStep& step) {
    Pool able;
    if (step.queue->advice.is_required) {
      for (const WorkerBoot& boot : advice_.Allowed(step.key, now_)) {
        const auto it = by_id_.find(boot.id);
        if (it != by_id_.end() && it->second->boot() == boot) {
          able.push_back(it->second);
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

  Pool PoolOf(const WaitingStep& step) {
    Pool pool;
    for (Candidate& worker : workers_[step.queue->service]) {
      pool.push_back(&worker);
    }
    return pool;
  }

  void PlaceTasks(const WaitingStep& step, const Pool& able) {
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
  void PlaceGang(const WaitingStep& step, const Pool& able) {
    if (step.spec->is_rack_local) {
      for (const std::string& rack : RacksOf(able)) {
        if (TryGang(step, able, rack)) {
          return;
        }
      }
    }
    TryGang(step, able, "");
  }

  static std::set<std::string> RacksOf(const Pool& able) {
    std::set<std::string> racks;
    for (const Candidate* it : able) {
      racks.insert(it->record->info.rack);
    }
    return racks;
  }

  bool TryGang(const WaitingStep& step,
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

  static void Take(const WaitingStep& step, Candidate& worker) {
    worker.room -= step.spec->Charge();
    worker.has_fillers |= step.spec->is_filler;
    worker.has_served |= step.spec->IsServed();
    if (step.spec->max_per_worker > 0) {
      ++worker.of_step[step.key];
    }
  }

  // Whether the worker could run the step if it were empty.
  static bool IsEligible(const WaitingStep& step, const Candidate& worker) {
    const std::string& label = step.spec->required_label;
    return (label.empty() || worker.HasLabel(label)) &&
           step.spec->Charge().Fits(worker.record->info.capacity);
  }

  static bool HasRoom(const WaitingStep& step, const Candidate& worker) {
    if (worker.is_reserved || !step.spec->Charge().Fits(worker.room)) {
      return false;
    }
    if (step.spec->max_per_worker == 0) {
      return true;
    }
    const auto it = worker.of_step.find(step.key);
    return it == worker.of_step.end() || it->second < step.spec->max_per_worker;
  }

  bool HasFailedOn(const TaskKey& task, const Candidate& worker) const {
    const auto job = memory_.failed_on.find(task.step.job);
    if (job == memory_.failed_on.end()) {
      return false;
    }
    const auto it = job->second.find(task);
    return it != job->second.end() && it->second.contains(worker.boot().id);
  }

  // Lower is better: not where the task failed before or others fail now, near
  // the data, apart from work that it would disturb or
  // be disturbed by, accelerators packed, processors spread.
  static auto Cost(const WaitingStep& step, const Candidate& worker) {
    const bool is_far = !step.spec->data_rack.empty() &&
                        worker.record->info.rack != step.spec->data_rack;
    const bool is_disturbed = (step.spec->is_filler && worker.has_served) ||
                              (step.spec->IsServed() && worker.has_fillers);
    const int64_t accelerators_left =
        worker.room.accelerators - step.spec->need.accelerators;
    return std::tuple(worker.is_suspect, is_disturbed, is_far,
                      accelerators_left, -worker.room.cpu_milli);
  }

  Candidate* Choose(const WaitingStep& step,
                    const TaskKey& task,
                    const Pool& able,
                    const std::string& rack = "") const {
    const auto cost_of = [&](const Candidate& worker) {
      return std::pair(HasFailedOn(task, worker), Cost(step, worker));
    };
    Candidate* best = nullptr;
    for (Candidate* worker : able) {
      const bool fits = HasRoom(step, *worker) &&
                        (rack.empty() || worker->record->info.rack == rack);
      if (fits && (best == nullptr || cost_of(*worker) < cost_of(*best))) {
        best = worker;
      }
    }
    return best;
  }

  // Smaller work would fill every gap before a gang, or a task that takes most
  // of a worker, finds one.
  static bool IsHardToPlace(const WaitingStep& step, const Pool& able) {
    return step.spec->is_gang ||
           std::ranges::none_of(able, [&](const Candidate* worker) {
             Resources twice = step.spec->Charge();
             twice += step.spec->Charge();
             return twice.Fits(worker->record->info.capacity);
           });
  }

  // Keeps what ranks behind the step off the workers that will have room for
  // it soonest. At most half of the pool is kept.
  void Reserve(const WaitingStep& step, Pool able) {
    const auto& pool = workers_[step.queue->service];
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
      missing -=
          std::min(missing, MembersIn(step, worker->record->info.capacity));
    }
  }

  // Tasks of the step that fit into `room`.
  static size_t MembersIn(const WaitingStep& step, Resources room) {
    size_t members = 0;
    while (step.spec->Charge().Fits(room) && members < step.spec->count) {
      room -= step.spec->Charge();
      ++members;
    }
    return members;
  }

  // A worker that a question may name.
  struct Nominee {
    Candidate* worker = nullptr;
    size_t members = 0;  // of the step, in the room that no other wish claims
  };

  // Asks only where the answer can be used: the tickets run out before long,
  // and every question keeps a host from asking another. What is wished for
  // counts as taken for the wishes that rank behind. A few steps may ask
  // without room, to learn early which workers they may use.
  void Wish(const WaitingStep& step) {
    std::vector<Nominee> allowed;
    std::vector<Nominee> unknown;
    for (Candidate* worker : PoolOf(step)) {
      const Standing standing = advice_.StandingOf(step.key, worker->boot());
      if (!IsEligible(step, *worker) || standing == Standing::kRefused) {
        continue;
      }
      const size_t members =
          HasRoom(step, *worker)
              ? MembersIn(step, worker->room - worker->wished)
              : 0;
      auto& nominees = standing == Standing::kAllowed ? allowed : unknown;
      nominees.push_back({worker, members});
    }
    const size_t needed = step.spec->is_gang ? step.spec->count : 1;
    if (CountMembers(allowed) >= needed) {
      AddWish(step, std::move(allowed), needed);
    } else if (CountMembers(allowed) + CountMembers(unknown) >= needed &&
               CountMembers(unknown) > 0) {
      AddWish(step, std::move(unknown), needed);
    } else if (allowed.empty() && !unknown.empty() &&
               eager_wishes_ < kMaxEagerWishes) {
      ++eager_wishes_;
      AddWish(step, std::move(unknown), 0);
    }
  }

  static size_t CountMembers(const std::vector<Nominee>& nominees) {
    size_t members = 0;
    for (const Nominee& it : nominees) {
      members += it.members;
    }
    return members;
  }

  // Names the best nominees, and claims room for `claimed` tasks on them.
  void AddWish(const WaitingStep& step,
               std::vector<Nominee> nominees,
               size_t claimed) {
    const auto rank = [&](const Nominee& it) {
      return std::pair(it.members == 0, Cost(step, *it.worker));
    };
    const size_t named = std::min(nominees.size(), kMaxCandidates);
    std::ranges::partial_sort(
        nominees, nominees.begin() + static_cast<long>(named), {}, rank);
    nominees.resize(named);
    AdviceWish wish{step.key, step.queue->advice, {}, claimed > 0};
    for (const Nominee& it : nominees) {
      wish.candidates.push_back(it.worker->boot());
      for (size_t n = std::min(claimed, it.members); n > 0; --n) {
        it.worker->wished += step.spec->Charge();
        --claimed;
      }
    }
    plan_.wishes.push_back(std::move(wish));
  }

  const JobTable& table_;
  const AdviceBook& advice_;
  const Memory& memory_;
  const base::Instant now_;
  std::map<wire::ServiceId, std::vector<Candidate>> workers_;
  std::map<wire::WorkerId, Candidate*> by_id_;  // into `workers_`
  std::vector<WaitingStep> steps_;
  size_t eager_wishes_ = 0;  // without room for the step
  Plan plan_;
};

}  // namespace

void Scheduler::OnJob(const wire::JobId& job, base::Instant now) {
  accepted_.emplace(job, now);
}

void Scheduler::OnJobEnded(const wire::JobId& job) {
  accepted_.erase(job);
  failed_on_.erase(job);
}

void Scheduler::OnEnd(const EndRun& end, base::Instant now) {
  const bool has_failed = end.how == RunEnd::kFailed;
  if (!has_failed && end.how != RunEnd::kDone) {
    return;
  }
  health_.OnEnd(end.worker, end.task.step.job, has_failed, now);
  if (has_failed) {
    failed_on_[end.task.step.job][end.task].insert(end.worker.id);
  }
}

void Scheduler::OnLag(const TaskKey& task,
                      const WorkerBoot& worker,
                      base::Instant now) {
  health_.OnEnd(worker, task.step.job, true, now);
  failed_on_[task.step.job][task].insert(worker.id);
}

Plan Scheduler::MakePlan(const JobTable& table,
                         const std::set<wire::WorkerId>& usable,
                         const AdviceBook& advice,
                         base::Instant now) const {
  return Planner(table, advice, {accepted_, health_, failed_on_}, now)
      .Make(usable);
}

}  // namespace sassafras::jobs
