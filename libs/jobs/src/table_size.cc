// Adds up what jobs hold by the lengths of their lists and texts.

#include "jobs/table_size.h"

#include <algorithm>
#include <chrono>

namespace sassafras::jobs {
namespace {

// The record, its place in lists by id and by order, and what the leader notes
// of the job: times, advice, backlog.
constexpr size_t kJobBytes = 512;
constexpr size_t kStepSpecBytes = 512;
// Of a step of an occurrence. A plan holds as much again while it is made.
constexpr size_t kStepRecordBytes = 512;
// While a message is read, an element is a generic value.
constexpr size_t kElementBytes = 16;

// A job needs this many times its size to be accepted.
constexpr size_t kHeadroomFactor = 8;

// Callers that come sooner would only be refused again; those that come later
// find that there has been room for long.
constexpr base::Duration kMinTimeToFree = std::chrono::seconds(1);
constexpr base::Duration kMaxTimeToFree = std::chrono::seconds(30);
constexpr double kNewSampleWeight = 0.25;

}  // namespace

size_t SizeOf(const JobSpec& spec) {
  size_t bytes = kJobBytes + spec.payload.size();
  for (const StepSpec& step : spec.steps) {
    bytes += kStepSpecBytes + step.required_label.size() +
             step.data_rack.size() + step.image.size() +
             step.after.size() * kElementBytes;
  }
  return bytes;
}

size_t OccurrenceSizeOf(const JobSpec& spec) {
  return spec.steps.size() * kStepRecordBytes;
}

size_t SizeWithOccurrence(const JobSpec& spec) {
  return SizeOf(spec) + OccurrenceSizeOf(spec);
}

size_t SizeOf(const JobRecord& job) {
  const size_t least = job.phase == JobPhase::kActive ? 1 : 0;
  return SizeOf(job.spec) +
         OccurrenceSizeOf(job.spec) * std::max(least, job.occurrences.size());
}

JobOwner JobOwner::Of(const CustomerId& customer, const QueueId& queue) {
  return customer.empty() ? JobOwner{{}, queue} : JobOwner{customer, {}};
}

void OwnerSizes::Add(const JobOwner& owner, size_t bytes) {
  if (bytes == 0) {
    return;
  }
  total_ += bytes;
  bytes_[owner] += bytes;
}

void OwnerSizes::Remove(const JobOwner& owner, size_t bytes) {
  const auto it = bytes_.find(owner);
  if (it == bytes_.end()) {
    return;
  }
  total_ -= bytes;
  it->second -= bytes;
  if (it->second == 0) {
    bytes_.erase(it);
  }
}

size_t OwnerSizes::Of(const JobOwner& owner) const {
  const auto it = bytes_.find(owner);
  return it == bytes_.end() ? 0 : it->second;
}

std::string TableBudget::FaultOf(const JobSpec& spec) const {
  const size_t bytes = SizeWithOccurrence(spec);
  return MissingFor(bytes, 0, 0) == 0
             ? ""
             : "the job takes about " + std::to_string(bytes) +
                   " bytes of the job table, and one may take at most " +
                   std::to_string(max_bytes_ / kHeadroomFactor);
}

size_t TableBudget::MissingFor(size_t bytes, size_t held, size_t total) const {
  const size_t needed = total + held + kHeadroomFactor * bytes;
  return needed > max_bytes_ ? needed - max_bytes_ : 0;
}

void ReleaseRate::Update(uint64_t released, base::Instant now) {
  if (updated_at_ && now > *updated_at_) {
    const std::chrono::duration<double> passed = now - *updated_at_;
    const double rate =
        static_cast<double>(released - released_) / passed.count();
    bytes_per_second_ += kNewSampleWeight * (rate - bytes_per_second_);
  }
  updated_at_ = now;
  released_ = released;
}

base::Duration ReleaseRate::TimeToFree(size_t missing) const {
  const double longest = std::chrono::duration<double>(kMaxTimeToFree).count();
  const double seconds =
      static_cast<double>(missing) / std::max(bytes_per_second_, 1.0);
  const auto time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, longest)));
  return std::clamp(time, kMinTimeToFree, kMaxTimeToFree);
}

}  // namespace sassafras::jobs
