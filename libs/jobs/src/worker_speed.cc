// Compares the workers that ran the tasks of one step.

#include "jobs/worker_speed.h"

#include <algorithm>
#include <chrono>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

// Steps with fewer completed tasks are ignored: a comparison needs several
// workers.
constexpr size_t kMinSamples = 4;
// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.1;
// Upper limit of a sample, as a ratio to the mean.
constexpr double kMaxRatio = 4;
constexpr double kSlowThreshold = 1.07;
constexpr double kVerySlowThreshold = 1.8;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void WorkerSpeed::OnStart(const StartRun& start, base::Instant now) {
  started_at_[{start.task, start.run}] = now;
}

void WorkerSpeed::OnDone(const EndRun& end, bool is_last, base::Instant now) {
  const auto node = started_at_.extract({end.task, end.run});
  if (!node.empty()) {
    samples_[end.task.step].push_back({end.worker, now - node.mapped()});
  }
  if (!is_last) {
    return;
  }
  const auto step = samples_.extract(end.task.step);
  if (!step.empty() && step.mapped().size() >= kMinSamples) {
    AddSamples(step.mapped());
  }
}

void WorkerSpeed::OnNotDone(const EndRun& end) {
  started_at_.erase({end.task, end.run});
}

void WorkerSpeed::OnJobEnded(const wire::JobId& job) {
  const StepKey first{job, 0, 0};
  EraseJob(samples_, job, first, [](auto& it) { return it.first.job; });
  EraseJob(started_at_, job, std::pair(TaskKey{first, 0}, uint64_t{0}),
           [](auto& it) { return it.first.first.step.job; });
}

void WorkerSpeed::AddSamples(const std::vector<Sample>& samples) {
  double sum = 0;
  for (const Sample& it : samples) {
    sum += Seconds(it.time);
  }
  const double mean = sum / static_cast<double>(samples.size());
  if (mean <= 0) {
    return;
  }
  for (const Sample& it : samples) {
    const double ratio = std::min(Seconds(it.time) / mean, kMaxRatio);
    Slowness& slowness = slowness_[it.worker.id];
    if (slowness.started_ms != it.worker.started_ms) {
      slowness = {it.worker.started_ms, 1};
    }
    slowness.ratio += kSampleWeight * (ratio - slowness.ratio);
  }
}

SpeedClass WorkerSpeed::SpeedOf(const WorkerBoot& worker) const {
  const auto it = slowness_.find(worker.id);
  if (it == slowness_.end() || it->second.started_ms != worker.started_ms ||
      it->second.ratio < kSlowThreshold) {
    return SpeedClass::kNormal;
  }
  return it->second.ratio < kVerySlowThreshold ? SpeedClass::kSlow
                                               : SpeedClass::kVerySlow;
}

}  // namespace sassafras::jobs
