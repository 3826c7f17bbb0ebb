// Comparing the workers of a step with each other.

#include "jobs/worker_speed.h"

#include <algorithm>
#include <chrono>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

// A step tells something only where its tasks ran on several workers.
constexpr size_t kFewestSamples = 4;
constexpr double kWeightOfOne = 0.1;  // of a new sample in the average
constexpr double kSlowest = 4;        // samples are cut there
constexpr double kSlowFrom = 1.07;
constexpr double kVerySlowFrom = 1.8;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void WorkerSpeed::OnStart(const StartRun& start, base::Instant now) {
  running_[{start.task, start.run}] = now;
}

void WorkerSpeed::OnDone(const EndRun& end, bool is_last, base::Instant now) {
  const auto node = running_.extract({end.task, end.run});
  if (!node.empty()) {
    done_[end.task.step].push_back({end.worker, now - node.mapped()});
  }
  if (!is_last) {
    return;
  }
  const auto step = done_.extract(end.task.step);
  if (!step.empty() && step.mapped().size() >= kFewestSamples) {
    Judge(step.mapped());
  }
}

void WorkerSpeed::OnLost(const EndRun& end) {
  running_.erase({end.task, end.run});
}

void WorkerSpeed::OnJobEnded(const wire::JobId& job) {
  const StepKey first{job, 0, 0};
  EraseJob(done_, job, first, [](auto& it) { return it.first.job; });
  EraseJob(running_, job, std::pair(TaskKey{first, 0}, uint64_t{0}),
           [](auto& it) { return it.first.first.step.job; });
}

void WorkerSpeed::Judge(const std::vector<Sample>& samples) {
  double sum = 0;
  for (const Sample& it : samples) {
    sum += Seconds(it.time);
  }
  const double mean = sum / static_cast<double>(samples.size());
  if (mean <= 0) {
    return;
  }
  for (const Sample& it : samples) {
    const double ratio = std::min(Seconds(it.time) / mean, kSlowest);
    double& slowness = slowness_.try_emplace(it.worker, 1).first->second;
    slowness += kWeightOfOne * (ratio - slowness);
  }
}

Pace WorkerSpeed::PaceOf(const WorkerBoot& worker) const {
  const auto it = slowness_.find(worker);
  if (it == slowness_.end() || it->second < kSlowFrom) {
    return Pace::kUsual;
  }
  return it->second < kVerySlowFrom ? Pace::kSlow : Pace::kVerySlow;
}

}  // namespace sassafras::jobs
