// Metrics of how long each queue's jobs wait, and of its refusals.

#ifndef JOBCONTROL_QUEUE_METRICS_H_
#define JOBCONTROL_QUEUE_METRICS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "jobcontrol/bounded_names.h"
#include "jobs/types.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Not thread-safe.
class QueueMetrics {
 public:
  // Queues with series of their own; those that are seen later in the life of
  // the process share the name "other".
  static constexpr size_t kMaxNames = BoundedNames::kMaxNames;

  // `metrics` must outlive this.
  explicit QueueMetrics(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // A job was submitted that is expected to wait at least so long.
  void OnEstimate(const jobs::QueueId& queue, base::Duration wait);
  // The job of the last estimate was accepted.
  void OnAccepted(const jobs::QueueId& queue,
                  const wire::JobId& job,
                  base::Duration wait,
                  base::Instant now);
  // The first start of the job's tasks is recorded; later starts are ignored.
  void OnStarted(const wire::JobId& job, base::Instant now);
  // The job has ended, or wasn't recorded.
  void Forget(const wire::JobId& job);
  // `reason` is a literal of the code.
  void OnRefused(const jobs::QueueId& queue, std::string_view reason);
  // Shows the longest estimate of each queue since the last call.
  void Report();
  // Another process leads now: sets all estimates to 0 and forgets the jobs.
  void Clear();

 private:
  struct Series {
    telemetry::Gauge* estimate = nullptr;
    telemetry::Histogram* error = nullptr;
    base::Duration longest{};  // since the last report
  };
  struct Accepted {
    jobs::QueueId queue;
    base::Duration wait{};
    base::Instant at;
  };

  Series& SeriesOf(const jobs::QueueId& queue);

  telemetry::Metrics& metrics_;
  BoundedNames names_;
  std::map<std::string, Series> series_;     // by the name that is shown
  std::map<wire::JobId, Accepted> waiting_;  // jobs of which no task started
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_QUEUE_METRICS_H_
