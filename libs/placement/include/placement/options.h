// Options of the placement scheduler. Every option has a usable default.

#ifndef PLACEMENT_OPTIONS_H_
#define PLACEMENT_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "base/reason.h"
#include "base/time.h"

namespace sassafras::placement {

enum class PlacementError { kNone, kBadOptions };
using PlacementReason = base::Reason<PlacementError>;

struct Options {
  // Maximum number of workers compared for one task, at least 1. It affects
  // only the quality of the choice: a task that fits on any worker is always
  // placed.
  uint32_t max_candidates = 32;

  // Waiting time that raises a task by one priority class. Aging doesn't raise
  // a task above urgent work before `starvation_bound`. At least 2 us.
  base::Duration aging_step = std::chrono::seconds(60);

  // Waiting time after which any job may reserve workers.
  base::Duration starvation_bound = std::chrono::minutes(10);

  // Tasks that started after waiting for `starvation_bound`, or through a
  // reservation, can't be preempted for this long after their start, except by
  // urgent work of owners within their share. For the same time, any task keeps
  // the rank that aging gave it against other non-urgent work of its owner.
  base::Duration preemption_protection = std::chrono::seconds(60);

  // Time that an attempt gets to write a checkpoint before it is stopped.
  base::Duration checkpoint_grace = std::chrono::milliseconds(600);

  // Interval at which an order is repeated while it isn't committed.
  base::Duration order_retry_interval = std::chrono::seconds(2);

  // Waiting time after which batch work of an owner below its share preempts
  // owners above theirs. Urgent work and services preempt without waiting.
  base::Duration preemption_delay = std::chrono::seconds(5);

  // A gang that doesn't fit reserves workers after waiting for
  // `gang_reservation_delay`. Any reservation expires after
  // `max_reservation_time`.
  base::Duration gang_reservation_delay = std::chrono::seconds(10);
  base::Duration max_reservation_time = std::chrono::minutes(10);

  // Run time that backfill assumes for a task, in percent of its expected run
  // time.
  uint32_t backfill_margin_percent = 150;

  // Usage estimate of a workload: the quantile of the observed peaks (1 to
  // 100), the margin added to it, and the number of observed attempts that are
  // needed before the estimate is used.
  uint32_t usage_quantile_percent = 95;
  uint32_t usage_margin_percent = 15;
  uint32_t usage_min_samples = 1;

  // Number of successful attempts, among the last 64 observed, that a workload
  // needs before it reserves fewer processors than declared. A task never
  // reserves less than a quarter of its declared processors, and a service
  // never less than all of them.
  uint32_t usage_min_done = 4;

  // Thresholds of a worker's observed use, in percent of its capacity. Above
  // `throttle_percent`, attempts are throttled to their reservation; above
  // `stop_percent`, attempts that exceed their reservation are stopped. A
  // worker stays within its capacity while its use grows by less, between two
  // reports, than the smaller of the two thresholds' distances to 100.
  uint32_t throttle_percent = 80;
  uint32_t stop_percent = 90;

  // A worker is quarantined when this many distinct workloads failed fast on it
  // within the window. A failure is fast if the attempt ran no longer than
  // `max_fast_failure_run`.
  uint32_t quarantine_workloads = 3;
  base::Duration quarantine_window = std::chrono::minutes(5);
  base::Duration max_fast_failure_run = std::chrono::seconds(30);

  // Delay before a quarantined worker gets one probe task. It doubles with each
  // failed probe, up to `max_probe_delay`.
  base::Duration probe_delay = std::chrono::seconds(30);
  base::Duration max_probe_delay = std::chrono::minutes(15);

  // A task that failed on this many distinct workers is considered faulty: its
  // failures no longer count against workers.
  uint32_t faulty_task_workers = 2;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_OPTIONS_H_
