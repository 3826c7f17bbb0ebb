// Compares heartbeats with the replicated table.

#include "heard_workers.h"

#include <utility>

namespace sassafras::jobcontrol {

bool HeardWorkers::Take(const jobs::JobTable& table,
                        const WorkerHeartbeat& heartbeat) {
  const jobs::WorkerRecord* record = table.FindWorker(heartbeat.worker.boot.id);
  if (record == nullptr || record->info != heartbeat.worker) {
    return false;
  }
  unreported_.push_back({heartbeat.worker.boot, heartbeat.clock_ms});
  return true;
}

std::vector<HeardWorker> HeardWorkers::TakeReport() {
  return std::exchange(unreported_, {});
}

}  // namespace sassafras::jobcontrol
