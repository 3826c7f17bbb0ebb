// Names and help texts of the leader's metrics.

#include "jobcontrol/leader_metrics.h"

namespace sassafras::jobcontrol {

LeaderMetrics::LeaderMetrics(telemetry::Metrics& metrics)
    : jobs_accepted(metrics.GetCounter("sassafras_jobs_accepted_total",
                                       "Jobs recorded by this leader.")),
      runs_started(
          metrics.GetCounter("sassafras_runs_started_total",
                             "Task runs recorded and sent to a worker.")),
      runs_ended(metrics.GetCounter(
          "sassafras_runs_ended_total",
          "Task runs that ended, except rejected and lost ones.")),
      runs_rejected(
          metrics.GetCounter("sassafras_runs_rejected_total",
                             "Task runs that a worker never started.")),
      orders_unanswered(
          metrics.GetCounter("sassafras_orders_unanswered_total",
                             "Orders to workers that got no reply.")),
      advice_queries(
          metrics.GetCounter("sassafras_advice_questions_total",
                             "Queries sent to the placement service.")),
      advice_queries_failed(
          metrics.GetCounter("sassafras_advice_failed_total",
                             "Placement queries that got no usable reply.")),
      workers_lost(metrics.GetCounter("sassafras_workers_lost_total",
                                      "Workers removed because their lease "
                                      "expired or their process ended.")),
      trials_started(metrics.GetCounter(
          "sassafras_trials_total",
          "Runs started of tasks under which workers have crashed.")),
      suspects_cleared(metrics.GetCounter(
          "sassafras_suspects_cleared_total",
          "Tasks under which workers have crashed, and a run of which then "
          "lived long enough to prove that they aren't the cause.")),
      jobs_given_up(metrics.GetCounter(
          "sassafras_jobs_crash_cause_total",
          "Jobs that failed because one of their tasks crashes workers.")),
      workers_usable(metrics.GetGauge("sassafras_workers_usable",
                                      "Workers that accept new task runs.")),
      jobs_active(metrics.GetGauge("sassafras_jobs_active",
                                   "Jobs that have not ended.")),
      table_bytes(metrics.GetGauge(
          "sassafras_job_table_bytes",
          "Memory that jobs take by what was asked for, estimated.")),
      table_max_bytes(
          metrics.GetGauge("sassafras_job_table_max_bytes",
                           "What sassafras_job_table_bytes may reach.")),
      occurrences_held_back(metrics.GetGauge(
          "sassafras_occurrences_held_back",
          "Recurring jobs of which a due occurrence waits for earlier ones or "
          "for room in the table.")),
      plan_time(metrics.GetHistogram(
          "sassafras_plan_seconds",
          "Time that the control thread spent on one plan.")),
      commit_time(metrics.GetHistogram(
          "sassafras_batch_commit_seconds",
          "Time from the proposal of a batch until it was applied.")),
      customers(std::make_unique<CustomerGauges>(metrics)),
      queues(std::make_unique<QueueMetrics>(metrics)) {}

}  // namespace sassafras::jobcontrol
