// Compares the scheduler with naive reference implementations.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <vector>

#include "fair_share.h"
#include "fake_cell.h"
#include "generators.h"
#include "worker_index.h"

namespace sassafras::placement {
namespace {

struct NaiveWorker {
  uint32_t zone = 0;
  wire::Resources free;
  bool has_accelerators = false;
};

// Returns the level of the workers that a naive scan prefers: 0 for workers
// without accelerators, else one more than the free accelerators. Lower levels
// are preferred. Returns nullopt if no worker fits.
std::optional<int64_t> LowestAcceleratorLevel(
    const std::map<uint32_t, NaiveWorker>& workers,
    const WorkerIndex::Query& query) {
  std::optional<int64_t> best;
  for (const auto& it : workers | std::views::values) {
    const int64_t level = it.has_accelerators ? it.free.accelerators + 1 : 0;
    const bool is_kept_for_accelerators = query.need.accelerators == 0 &&
                                          level > 1 &&
                                          !query.may_use_accelerator_hosts;
    const bool is_in_zone = !query.zone || *query.zone == it.zone;
    if (query.need.FitsIn(it.free) && is_in_zone && !is_kept_for_accelerators &&
        (!best || level < *best)) {
      best = level;
    }
  }
  return best;
}

RC_GTEST_PROP(WorkerIndexProperty, FindMatchesNaiveScan, ()) {
  WorkerIndex index(1);
  std::map<uint32_t, NaiveWorker> workers;
  for (int n = 0; n < 120; ++n) {
    const auto slot = InRange<uint32_t>(0, 40);
    if (InRange<int>(0, 4) == 0) {
      index.Erase(slot);
      workers.erase(slot);
    } else {
      NaiveWorker worker;
      worker.zone = InRange<uint32_t>(0, 3);
      worker.free = RandomResources(8, 8, 3);
      worker.has_accelerators =
          worker.free.accelerators > 0 || *rc::gen::arbitrary<bool>();
      index.Put(slot, worker.zone, worker.free, worker.has_accelerators);
      workers[slot] = worker;
    }
    WorkerIndex::Query query;
    query.need = RandomResources(9, 9, 4);
    query.limit = InRange<uint32_t>(1, 50);
    query.may_use_accelerator_hosts = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
      query.zone = InRange<uint32_t>(0, 3);
    }
    std::vector<WorkerIndex::Slot> found;
    index.Find(query, found);
    const auto level = LowestAcceleratorLevel(workers, query);
    RC_ASSERT(level.has_value() == !found.empty());
    for (const auto slot_found : found) {
      const NaiveWorker& it = workers.at(slot_found);
      RC_ASSERT(query.need.FitsIn(it.free));
      RC_ASSERT((it.has_accelerators ? it.free.accelerators + 1 : 0) == *level);
    }
  }
}

RC_GTEST_PROP(BestFitProperty, PlacementMatchesNaiveScan, ()) {
  Options options;
  options.max_candidates = 64;  // at least the number of workers
  FakeCell cell(options);
  std::map<std::string, wire::Resources> free;
  for (int n = 0; n < 20; ++n) {
    const std::string id = "w" + std::to_string(n);
    free[id] = RandomResources(16'000, 32'768, 0) + wire::Resources{1, 1, 0};
    cell.AddWorker(id, "z", "r", free[id]);
  }
  const auto capacity = free;
  for (int n = 0; n < 30; ++n) {
    auto spec =
        MakeBatchJob("j" + std::to_string(n), "x",
                     RandomResources(6000, 8192, 0) + wire::Resources{1, 1, 0});
    if (cell.Submit(spec)) {
      continue;
    }
    const auto score = [&](const std::string& id) {
      const auto remaining = free[id] - spec.per_task;
      return remaining.milli_cpus * 1'000'000 / capacity.at(id).milli_cpus +
             remaining.memory_mib * 1'000'000 / capacity.at(id).memory_mib;
    };
    std::optional<int64_t> best;
    for (const auto& [id, free_capacity] : free) {
      if (spec.per_task.FitsIn(free_capacity) && (!best || score(id) < *best)) {
        best = score(id);
      }
    }
    cell.PlanOnce();
    RC_ASSERT(best.has_value() == (cell.CountActiveTasks(spec.id.str()) == 1));
    if (best) {
      const std::string id = cell.task({spec.id, 0}).worker.str();
      RC_ASSERT(score(id) == *best);
      free[id] -= spec.per_task;
    } else {
      cell.Cancel(spec.id);
    }
  }
}

struct NaiveOwner {
  std::string id;
  uint32_t weight = 1;
  wire::Resources need;
  int64_t placed_tasks = 0;
};

RC_GTEST_PROP(FairShareProperty, OwnerOrderMatchesNaiveCalculation, ()) {
  const wire::Resources total{100'000, 100'000, 16};
  FakeCell cell;
  cell.AddWorker("w", "z", "r", total);
  std::vector<NaiveOwner> owners;
  const auto count = InRange<int>(2, 6);
  const auto accelerators = InRange<int64_t>(0, 2);
  for (int n = 0; n < count; ++n) {
    NaiveOwner owner{"o" + std::to_string(n), InRange<uint32_t>(1, 5),
                     RandomResources(5000, 5000, 0) +
                         wire::Resources{100, 100, accelerators},
                     0};
    cell.PutOwner(owner.id, owner.weight);
    owners.push_back(owner);
  }
  for (const NaiveOwner& it : owners) {
    cell.Submit(MakeBatchJob("job-" + it.id, it.id, it.need, 1100));
  }
  cell.PlanOnce({2000, 0});
  // The dominant share divided by the owner's weight.
  const auto weighted_share = [&](const NaiveOwner& it) {
    const auto fraction = [&](int64_t need, int64_t capacity) {
      return static_cast<long double>(need * it.placed_tasks) / capacity;
    };
    return std::max({fraction(it.need.milli_cpus, total.milli_cpus),
                     fraction(it.need.memory_mib, total.memory_mib),
                     fraction(it.need.accelerators, total.accelerators)}) /
           it.weight;
  };
  wire::Resources free = total;
  for (const Decision& decision : cell.decisions) {
    if (decision.kind != DecisionKind::kPlace) {
      continue;
    }
    const auto fits = [&](const NaiveOwner& it) {
      return it.need.FitsIn(free);
    };
    auto fitting = owners | std::views::filter(fits);
    RC_ASSERT(!fitting.empty());
    const NaiveOwner& lowest =
        *std::ranges::min_element(fitting, {}, weighted_share);
    const auto chosen =
        std::ranges::find(owners, decision.owner.str(), &NaiveOwner::id);
    // The scheduler rounds shares down to integers, so equal shares may differ
    // slightly.
    constexpr long double kRounding = 1e-9L;
    RC_ASSERT(weighted_share(*chosen) <= weighted_share(lowest) + kRounding);
    free -= chosen->need;
    ++chosen->placed_tasks;
  }
  RC_ASSERT(std::ranges::none_of(
      owners, [&](const NaiveOwner& it) { return it.need.FitsIn(free); }));
}

}  // namespace
}  // namespace sassafras::placement
