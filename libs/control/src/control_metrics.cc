// Names and help texts of the control metrics.

#include "control/control_metrics.h"

namespace sassafras::control {

ControlMetrics::ControlMetrics(telemetry::Metrics& metrics)
    : registry(metrics),
      term(metrics.GetGauge("sassafras_control_term", "Term of leadership.")),
      is_leader(metrics.GetGauge("sassafras_control_is_leader",
                                 "1 while this replica leads.")),
      commit_index(metrics.GetGauge("sassafras_control_commit_index",
                                    "Last committed record.")),
      document_version(metrics.GetGauge("sassafras_control_document_version",
                                        "Version applied by this replica.")),
      applied(metrics.GetCounter("sassafras_control_commands_applied_total",
                                 "Committed commands applied.")),
      journal_write(
          metrics.GetHistogram("sassafras_journal_write_seconds",
                               "Write and sync of one batch of the journal.")),
      worker_heartbeats(
          metrics.GetCounter("sassafras_worker_heartbeats_total",
                             "Heartbeats of workers, at the leader.")),
      upstream_heartbeats(
          metrics.GetCounter("sassafras_upstream_heartbeats_total",
                             "Heartbeats of upstreams, at the leader.")),
      sessions(metrics.GetGauge("sassafras_entry_sessions",
                                "Entries with a session, at the leader.")),
      upstreams(metrics.GetGauge("sassafras_upstreams_live",
                                 "Upstreams with a lease, at the leader.")),
      slots_granted(metrics.GetGauge("sassafras_slots_granted",
                                     "Slots granted, at the leader.")),
      waiting_tasks(metrics.GetGauge("sassafras_tasks_waiting",
                                     "Tasks not placed, at the leader.")) {}

void ControlMetrics::CountDecision(std::string_view what) const {
  registry
      .GetCounter("sassafras_placement_decisions_total",
                  "Decisions of placement, by what was decided.",
                  {{"what", std::string(what)}})
      .Add();
}

void ControlMetrics::ResetLeaderGauges() const {
  for (auto* gauge :
       {&is_leader, &sessions, &upstreams, &slots_granted, &waiting_tasks}) {
    gauge->Set(0);
  }
}

}  // namespace sassafras::control
