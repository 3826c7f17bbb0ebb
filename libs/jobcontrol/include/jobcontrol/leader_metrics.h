// Metrics of the leader of the job queues; docs/OPERATIONS.md describes them.

#ifndef JOBCONTROL_LEADER_METRICS_H_
#define JOBCONTROL_LEADER_METRICS_H_

#include <memory>

#include "jobcontrol/customer_gauges.h"
#include "jobcontrol/queue_metrics.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Refers to metrics in the registry of the process. Thread-safe, but for
// `customers` and `queues`, which are the leader's.
struct LeaderMetrics {
  explicit LeaderMetrics(telemetry::Metrics& metrics);

  telemetry::Counter& jobs_accepted;
  telemetry::Counter& runs_started;
  telemetry::Counter& runs_ended;
  telemetry::Counter& runs_rejected;
  telemetry::Counter& orders_unanswered;
  telemetry::Counter& advice_queries;
  telemetry::Counter& advice_queries_failed;
  telemetry::Counter& workers_lost;
  telemetry::Counter& trials_started;
  telemetry::Counter& suspects_cleared;
  telemetry::Counter& jobs_given_up;
  telemetry::Gauge& workers_usable;
  telemetry::Gauge& jobs_active;
  telemetry::Gauge& table_bytes;
  telemetry::Gauge& table_max_bytes;
  telemetry::Gauge& occurrences_held_back;
  telemetry::Histogram& plan_time;
  telemetry::Histogram& commit_time;
  const std::unique_ptr<CustomerGauges> customers;
  const std::unique_ptr<QueueMetrics> queues;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_LEADER_METRICS_H_
