// Sets the metrics of queues and bounds their names.

#include "jobcontrol/queue_metrics.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ranges>
#include <utility>

namespace sassafras::jobcontrol {
namespace {

// Of the differences, in seconds. The estimate is a lower bound, so what is far
// below 0 is a fault of it.
constexpr std::array kErrorBounds = {-30.0, -10.0, -3.0, -1.0, -0.3, -0.1, 0.0,
                                     0.1,   0.3,   1.0,  3.0,  10.0, 30.0};

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QueueMetrics::OnEstimate(const jobs::QueueId& queue, base::Duration wait) {
  Series& series = SeriesOf(queue);
  series.longest = std::max(series.longest, wait);
}

void QueueMetrics::OnAccepted(const jobs::QueueId& queue,
                              const wire::JobId& job,
                              base::Duration wait,
                              base::Instant now) {
  waiting_.try_emplace(job, Accepted{queue, wait, now});
}

void QueueMetrics::OnStarted(const wire::JobId& job, base::Instant now) {
  const auto it = waiting_.find(job);
  if (it != waiting_.end()) {
    const Accepted& accepted = it->second;
    SeriesOf(accepted.queue)
        .error->Observe(ToSeconds(now - accepted.at - accepted.wait));
    waiting_.erase(it);
  }
}

void QueueMetrics::Forget(const wire::JobId& job) {
  waiting_.erase(job);
}

void QueueMetrics::OnRefused(const jobs::QueueId& queue,
                             std::string_view reason) {
  metrics_
      .GetCounter(
          "sassafras_jobs_refused_total", "Jobs that this leader has refused.",
          {{"queue", names_.Get(queue.str())}, {"reason", std::string(reason)}})
      .Add();
}

void QueueMetrics::Report() {
  for (Series& it : series_ | std::views::values) {
    it.estimate->Set(ToSeconds(std::exchange(it.longest, {})));
  }
}

void QueueMetrics::Clear() {
  waiting_.clear();
  for (Series& it : series_ | std::views::values) {
    it.longest = {};
    it.estimate->Set(0);
  }
}

QueueMetrics::Series& QueueMetrics::SeriesOf(const jobs::QueueId& queue) {
  const std::string name = names_.Get(queue.str());
  Series& series = series_[name];
  if (series.estimate == nullptr) {
    const telemetry::Labels labels = {{"queue", name}};
    series.estimate = &metrics_.GetGauge(
        "sassafras_queue_wait_estimate_seconds",
        "Least wait that a job submitted in the last second expects.", labels);
    series.error = &metrics_.GetHistogram(
        "sassafras_queue_wait_error_seconds",
        "Time until an accepted job's first start, less its estimated wait.",
        kErrorBounds, labels);
  }
  return series;
}

}  // namespace sassafras::jobcontrol
