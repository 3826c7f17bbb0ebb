// Models of the two existing deployments, and helpers for the policy
// benchmarks.

#ifndef BENCHMARKS_PLACEMENT_DEPLOYMENTS_H_
#define BENCHMARKS_PLACEMENT_DEPLOYMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "fake_cell.h"

namespace sassafras::placement {

struct Deployment {
  const char* name;
  wire::Resources accelerator_worker_capacity;
};

inline constexpr Deployment kDeployments[] = {
    {"Kazbegi", {32'000, 131'072, 8}},
    {"Liiklusakt", {64'000, 131'072, 8}}};

inline std::vector<PutWorker> MakeWorkers(const Deployment& deployment) {
  std::vector<PutWorker> workers;
  const auto add_workers = [&](const std::string& prefix, int count,
                               int per_rack, const wire::Resources& capacity) {
    for (int n = 0; n < count; ++n) {
      const int rack = n / per_rack;
      workers.push_back({wire::WorkerId(prefix + std::to_string(n)),
                         wire::Incarnation("1"),
                         wire::ZoneId("zone-" + std::to_string(rack % 3)),
                         wire::RackId(prefix + std::to_string(rack)),
                         wire::WorkerState::kReady, capacity});
    }
  };
  add_workers("plain-", 35, 5, kPlainCapacity);
  add_workers("accelerator-", 13, 3, deployment.accelerator_worker_capacity);
  return workers;
}

inline wire::Resources TotalCapacity(const std::vector<PutWorker>& workers) {
  wire::Resources total;
  for (const PutWorker& it : workers) {
    total += it.capacity;
  }
  return total;
}

inline int64_t RandomBetween(base::Random& random,
                             int64_t minimum,
                             int64_t maximum) {
  return minimum + static_cast<int64_t>(random.Below(maximum - minimum + 1));
}

inline wire::Resources Multiply(const wire::Resources& value, int64_t n) {
  return {value.milli_cpus * n, value.memory_mib * n, value.accelerators * n};
}

}  // namespace sassafras::placement

#endif  // BENCHMARKS_PLACEMENT_DEPLOYMENTS_H_
