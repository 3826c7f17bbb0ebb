// Metrics of a control replica, exported at /metrics and listed in
// docs/OPERATIONS.md.

#ifndef CONTROL_CONTROL_METRICS_H_
#define CONTROL_CONTROL_METRICS_H_

#include <string_view>

#include "telemetry/metrics.h"

namespace sassafras::control {

// References to metrics in the registry of the process. Thread-safe.
struct ControlMetrics {
  explicit ControlMetrics(telemetry::Metrics& metrics);

  // Counts a placement decision under the label `what`.
  void CountDecision(std::string_view what) const;
  // Sets the gauges that only the leader maintains to zero, for replicas that
  // are not the leader.
  void ResetLeaderGauges() const;

  telemetry::Metrics& registry;

  telemetry::Gauge& term;
  telemetry::Gauge& is_leader;  // 0 or 1
  telemetry::Gauge& commit_index;
  telemetry::Gauge& document_version;   // applied by this replica
  telemetry::Counter& applied;          // committed commands
  telemetry::Histogram& journal_write;  // seconds to write and sync one batch

  // Maintained by the leader only.
  telemetry::Counter& worker_heartbeats;
  telemetry::Counter& upstream_heartbeats;
  telemetry::Gauge& sessions;   // of entries
  telemetry::Gauge& upstreams;  // with a live lease
  telemetry::Gauge& slots_granted;
  telemetry::Gauge& waiting_tasks;  // not placed yet
};

}  // namespace sassafras::control

#endif  // CONTROL_CONTROL_METRICS_H_
