// Compares the workers that ran the tasks of one step.

#include "jobs/worker_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

// Steps with fewer timed tasks are ignored: a comparison needs several workers.
constexpr size_t kMinTasks = 4;
// A worker with fewer samples is taken to have others of the typical speed. So
// one wrong sample changes nothing.
constexpr size_t kMinSamples = 3;
// Speeds of at most this many workers are kept for each one in the table.
constexpr size_t kMaxKnownFactor = 2;
// A sample of a stuck task says little about the worker.
constexpr double kMaxLogSpeed = 1.5;

double MedianOf(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  if (values.size() % 2 == 1) {
    return *middle;
  }
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

}  // namespace

void WorkerSpeed::OnDone(const DoneRun& run) {
  if (run.took.count() > 0) {
    const double seconds = std::chrono::duration<double>(run.took).count();
    times_[run.step].push_back({run.worker, std::log(seconds)});
  }
  if (!run.is_last_of_step) {
    return;
  }
  const auto step = times_.extract(run.step);
  if (!step.empty() && step.mapped().size() >= kMinTasks) {
    AddSamples(step.mapped());
  }
}

void WorkerSpeed::OnJobEnded(const wire::JobId& job) {
  EraseJob(times_, job, StepKey{job, 0, 0},
           [](auto& it) { return it.first.job; });
}

void WorkerSpeed::Prune(const JobTable& table) {
  std::erase_if(times_, [&](const auto& entry) {
    const JobRecord* job = table.FindJob(entry.first.job);
    return job == nullptr || job->phase != JobPhase::kActive;
  });
  if (samples_.size() > kMaxKnownFactor * table.workers().size()) {
    std::erase_if(samples_, [&](const auto& entry) {
      return table.FindWorker(entry.first) == nullptr;
    });
  }
}

// The work of a task of the step is the median of what the workers have done
// at their known speeds.
void WorkerSpeed::AddSamples(const std::vector<TaskTime>& times) {
  std::vector<double> work;
  std::ranges::transform(times, std::back_inserter(work), [&](auto& it) {
    return it.log_seconds + LogSpeedOf(it.worker);
  });
  const double log_work = MedianOf(std::move(work));
  for (const TaskTime& it : times) {
    AddSample(it.worker, std::clamp(log_work - it.log_seconds, -kMaxLogSpeed,
                                    kMaxLogSpeed));
  }
}

void WorkerSpeed::AddSample(const WorkerBoot& worker, double log_speed) {
  Samples& samples = samples_[worker.id];
  if (samples.started_ms != worker.started_ms) {
    samples = {worker.started_ms, {}, 0, 0};
  }
  samples.values[samples.count++ % samples.values.size()] = log_speed;
  const size_t known = std::min(samples.count, samples.values.size());
  std::vector<double> values(
      samples.values.begin(),
      samples.values.begin() + static_cast<ptrdiff_t>(known));
  values.resize(std::max(known, kMinSamples));
  const auto weight = static_cast<double>(known);
  samples.log_speed = MedianOf(std::move(values)) * weight / (weight + 1);
}

double WorkerSpeed::LogSpeedOf(const WorkerBoot& worker) const {
  const auto it = samples_.find(worker.id);
  const bool is_known =
      it != samples_.end() && it->second.started_ms == worker.started_ms;
  return is_known ? it->second.log_speed : 0;
}

double WorkerSpeed::SpeedOf(const WorkerBoot& worker) const {
  return std::exp(LogSpeedOf(worker));
}

}  // namespace sassafras::jobs
