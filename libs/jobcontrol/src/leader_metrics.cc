// Names and help texts of the leader's metrics.

#include "jobcontrol/leader_metrics.h"

namespace sassafras::jobcontrol {

LeaderMetrics::LeaderMetrics(telemetry::Metrics& metrics)
    : jobs_accepted(metrics.GetCounter("sassafras_jobs_accepted_total",
                                       "Jobs recorded by this leader.")),
      runs_started(metrics.GetCounter("sassafras_runs_started_total",
                                      "Runs recorded and ordered.")),
      runs_ended(metrics.GetCounter("sassafras_runs_ended_total",
                                    "Ends that workers listed.")),
      runs_rejected(metrics.GetCounter("sassafras_runs_rejected_total",
                                       "Runs that a worker never started.")),
      orders_unanswered(metrics.GetCounter("sassafras_orders_unanswered_total",
                                           "Orders without an answer.")),
      advice_queries(metrics.GetCounter("sassafras_advice_questions_total",
                                        "Questions to the placement service.")),
      advice_queries_failed(metrics.GetCounter("sassafras_advice_failed_total",
                                               "Questions without an answer.")),
      workers_lost(metrics.GetCounter("sassafras_workers_lost_total",
                                      "Workers whose lease ran out.")),
      workers_usable(metrics.GetGauge("sassafras_workers_usable",
                                      "Workers that take new work.")),
      jobs_active(metrics.GetGauge("sassafras_jobs_active",
                                   "Jobs that haven't ended.")) {}

}  // namespace sassafras::jobcontrol
