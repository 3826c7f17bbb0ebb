// Compares what is asked for with the memory that jobs may take.

#include "jobcontrol/table_guard.h"

#include <algorithm>
#include <ranges>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

constexpr size_t kMebibyte = 1'048'576;
constexpr size_t kMemoryDivisor = 8;
// Clocks of callers and of suspended hosts differ from this one.
constexpr int kRetentionNumerator = 5;
constexpr int kRetentionDenominator = 4;
constexpr size_t kMaxForgottenAtOnce = 256;

// While so many occurrences of a job have not started any task, there is no
// capacity for a further one.
constexpr size_t kMaxUnstarted = 8;
// Of one job that have begun and aren't over.
constexpr size_t kMaxOpenOccurrences = 128;

constexpr auto kShortagePause = std::chrono::seconds(2);

bool HasStarted(const std::vector<jobs::StepRecord>& steps) {
  return std::ranges::any_of(
      steps, [](auto& it) { return it.open > 0 || it.done > 0; });
}

bool IsDue(const jobs::JobRecord& job, base::WallMs wall) {
  return job.spec.IsRecurring() && job.next_occurrence < job.spec.occurrences &&
         wall >=
             job.spec.first_due_ms + static_cast<int64_t>(job.next_occurrence) *
                                         job.spec.interval_ms;
}

// Whether enough occurrences of the job wait for capacity. The latest ones are
// looked at first, as these are the ones that haven't started.
bool HasEnoughWaiting(const jobs::JobRecord& job) {
  size_t unstarted = 0;
  for (const auto& steps :
       job.occurrences | std::views::values | std::views::reverse) {
    unstarted += HasStarted(steps) ? 0 : 1;
    if (unstarted >= kMaxUnstarted) {
      return true;
    }
  }
  return job.occurrences.size() >= kMaxOpenOccurrences;
}

}  // namespace

size_t TableLimits::MaxBytesOf(size_t memory_mb) {
  return memory_mb * kMebibyte / kMemoryDivisor;
}

bool Episode::Note(base::Instant now) {
  const bool is_new = !last_;
  last_ = now;
  return is_new;
}

bool Episode::HasEnded(base::Instant now) {
  if (!last_ || now - *last_ < kShortagePause) {
    return false;
  }
  last_.reset();
  return true;
}

TableGuard::TableGuard(const TableLimits& limits, const LeaderMetrics& metrics)
    : budget_(limits.max_bytes),
      retention_(limits.keep_ended * kRetentionNumerator /
                 kRetentionDenominator),
      metrics_(metrics) {}

// When they ended isn't known.
void TableGuard::Begin(const jobs::JobTable& table, base::Instant now) {
  for (const auto& [id, job] : table.jobs()) {
    if (job.phase != jobs::JobPhase::kActive) {
      OnJobEnded(id, now);
    }
  }
}

std::optional<base::Duration> TableGuard::RetryAfter(
    const jobs::JobTable& table,
    const jobs::AddJob& job,
    base::Instant now) {
  const auto owner = jobs::JobOwner::Of(job.customer, job.queue);
  const size_t bytes = jobs::SizeWithOccurrence(job.spec);
  const size_t held = table.sizes().Of(owner) + pending_.Of(owner);
  const size_t total = table.sizes().total() + pending_.total();
  const size_t missing = budget_.MissingFor(bytes, held, total);
  if (missing == 0) {
    return std::nullopt;
  }
  const base::Duration retry_after = release_rate_.TimeToFree(missing);
  if (refuses_.Note(now)) {
    Decision("table-short")
        .With("state", "begins")
        .With("bytes", total)
        .With("max_bytes", budget_.max_bytes())
        .Write();
  }
  Decision line("table-full");
  line.With("job", job.id)
      .With("queue", job.queue)
      .With("bytes", bytes)
      .With("held", held)
      .With("total", total)
      .With("retry_after_us", retry_after);
  if (!job.customer.empty()) {
    line.With("customer", job.customer);
  }
  line.Write();
  return retry_after;
}

void TableGuard::OnAccepted(const jobs::AddJob& job) {
  pending_.Add(jobs::JobOwner::Of(job.customer, job.queue),
               jobs::SizeWithOccurrence(job.spec));
}

void TableGuard::OnResolved(const jobs::AddJob& job) {
  pending_.Remove(jobs::JobOwner::Of(job.customer, job.queue),
                  jobs::SizeWithOccurrence(job.spec));
}

std::vector<jobs::BeginOccurrence> TableGuard::DueOccurrences(
    const jobs::JobTable& table,
    base::WallMs wall,
    base::Instant now) {
  std::vector<jobs::BeginOccurrence> due;
  jobs::OwnerSizes begun;
  size_t held_back = 0;
  for (const jobs::JobRecord* job : table.active() | std::views::values) {
    if (!IsDue(*job, wall)) {
      continue;
    }
    if (!MayBegin(table, *job, begun)) {
      ++held_back;
      continue;
    }
    due.push_back({job->id, job->next_occurrence});
    begun.Add(jobs::JobOwner::Of(job->customer, job->queue),
              jobs::OccurrenceSizeOf(job->spec));
  }
  metrics_.occurrences_held_back.Set(static_cast<double>(held_back));
  if (held_back > 0 && holds_back_.Note(now)) {
    Decision("occurrences-held-back")
        .With("state", "begins")
        .With("jobs", held_back)
        .Write();
  }
  return due;
}

// Room for one occurrence was there when the job was accepted.
bool TableGuard::MayBegin(const jobs::JobTable& table,
                          const jobs::JobRecord& job,
                          const jobs::OwnerSizes& begun) const {
  if (job.occurrences.empty()) {
    return true;
  }
  const auto owner = jobs::JobOwner::Of(job.customer, job.queue);
  const size_t held =
      table.sizes().Of(owner) + pending_.Of(owner) + begun.Of(owner);
  const size_t total = table.sizes().total() + pending_.total() + begun.total();
  return !HasEnoughWaiting(job) &&
         budget_.MissingFor(jobs::OccurrenceSizeOf(job.spec), held, total) == 0;
}

void TableGuard::OnJobEnded(const wire::JobId& job, base::Instant now) {
  ended_.push_back({now, job});
}

std::vector<wire::JobId> TableGuard::JobsToForget(const jobs::JobTable& table,
                                                  base::Instant now) {
  std::vector<wire::JobId> jobs;
  while (!ended_.empty() && now - ended_.front().ended_at >= retention_ &&
         jobs.size() < kMaxForgottenAtOnce) {
    const wire::JobId id = ended_.front().job;
    ended_.pop_front();
    const jobs::JobRecord* job = table.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    // Until this is recorded, or while runs of the job are being stopped.
    OnJobEnded(id, now);
    if (job->occurrences.empty()) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

void TableGuard::Report(const jobs::JobTable& table, base::Instant now) {
  release_rate_.Update(table.released_bytes(), now);
  metrics_.table_bytes.Set(
      static_cast<double>(table.sizes().total() + pending_.total()));
  metrics_.table_max_bytes.Set(static_cast<double>(budget_.max_bytes()));
  if (refuses_.HasEnded(now)) {
    Decision("table-short").With("state", "ends").Write();
  }
  if (holds_back_.HasEnded(now)) {
    Decision("occurrences-held-back").With("state", "ends").Write();
  }
}

}  // namespace sassafras::jobcontrol
