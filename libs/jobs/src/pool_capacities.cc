// Adds up the capacity of pools.

#include "jobs/pool_capacities.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace sassafras::jobs {
namespace {

// Longer than all workers of a cluster need to register, and than a worker
// needs to come back after a crash.
constexpr base::Duration kSettleTime = std::chrono::seconds(10);

Resources MaxOf(const Resources& left, const Resources& right) {
  return {std::max(left.cpu_milli, right.cpu_milli),
          std::max(left.mem_mb, right.mem_mb),
          std::max(left.accelerators, right.accelerators)};
}

}  // namespace

std::map<wire::ServiceId, PoolCapacities::Pool> PoolCapacities::PoolsOf(
    const JobTable& table) {
  std::map<wire::ServiceId, Pool> pools;
  for (const WorkerRecord& worker : table.workers() | std::views::values) {
    if (!worker.info.is_draining) {
      Pool& pool = pools[worker.info.service];
      pool.sum += worker.info.capacity;
      pool.largest = MaxOf(pool.largest, worker.info.capacity);
    }
  }
  return pools;
}

void PoolCapacities::Assign(const JobTable& table) {
  pools_ = PoolsOf(table);
}

bool PoolCapacities::Update(const JobTable& table, base::Instant now) {
  bool has_other_sizes = false;
  auto earlier = std::exchange(pools_, PoolsOf(table));
  for (auto& [id, pool] : pools_) {
    const auto it = earlier.find(id);
    if (it == earlier.end()) {
      pool.known_from = now + kSettleTime;
      has_other_sizes = true;
      continue;
    }
    const Pool& before = it->second;
    has_other_sizes |= !(pool.largest == before.largest);
    pool.known_from = before.known_from;
    pool.before_losses = before.before_losses;
    pool.counts_until = before.counts_until;
    if (!before.sum.Fits(pool.sum)) {
      pool.before_losses = now < before.counts_until
                               ? MaxOf(before.sum, before.before_losses)
                               : before.sum;
      pool.counts_until = now + kSettleTime;
    }
  }
  return has_other_sizes || pools_.size() != earlier.size();
}

std::optional<Resources> PoolCapacities::CapacityOf(const wire::ServiceId& pool,
                                                    base::Instant now) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end() || now < it->second.known_from) {
    return std::nullopt;
  }
  return now < it->second.counts_until
             ? MaxOf(it->second.sum, it->second.before_losses)
             : it->second.sum;
}

Resources PoolCapacities::LargestWorker(const wire::ServiceId& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? Resources{} : it->second.largest;
}

}  // namespace sassafras::jobs
