// Accepts or refuses submissions, and reports how long jobs wait.

#include <algorithm>
#include <chrono>
#include <utility>

#include "jobcontrol/leader.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

constexpr auto kQueueReportPeriod = std::chrono::seconds(1);
// Of the jobs in a batch, by their size in the table.
constexpr size_t kMaxBatchBytes = size_t{1} * 1024 * 1024;

}  // namespace

// A job that is submitted again must not be refused while it may yet be
// recorded.
std::optional<Refusal> Leader::Submit(jobs::AddJob job, RecordDone done) {
  done = CheckOwner(job, std::move(done));
  if (context_.table().FindJob(job.id) != nullptr) {
    done(RecordResult::kRecorded);
    return std::nullopt;
  }
  const jobs::Customer* customer = context_.table().FindCustomer(job.customer);
  job.is_excess = customer != nullptr &&
                  submission_rates_.IsExcess(*customer, job.id, context_.Now());
  if (!IsBeingRecorded(job.id)) {
    if (auto refusal = RefusalOf(job)) {
      submission_rates_.Withdraw(job.customer, job.id);
      metrics_.queues->OnRefused(job.queue, refusal->reason);
      return refusal;
    }
  }
  table_guard_.OnAccepted(job);
  submissions_.push_back({std::move(job), std::move(done)});
  Flush();
  return std::nullopt;
}

// The encoding of a batch takes several times its size, so a crowd of large
// jobs is recorded in several.
void Leader::AddSubmissions() {
  size_t bytes = 0;
  while (!submissions_.empty() && bytes < kMaxBatchBytes) {
    Submission& next = submissions_.front();
    bytes += jobs::SizeWithOccurrence(next.job.spec);
    batch_.jobs.push_back(std::move(next.job));
    batch_callbacks_.push_back(std::move(next.done));
    submissions_.pop_front();
  }
}

bool Leader::IsBeingRecorded(const wire::JobId& job) const {
  const auto contains = [&](const jobs::Batch& batch) {
    return std::ranges::find(batch.jobs, job, &jobs::AddJob::id) !=
           batch.jobs.end();
  };
  const bool is_queued = std::ranges::any_of(
      submissions_, [&](const Submission& it) { return it.job.id == job; });
  return is_queued || contains(batch_) || (recording_ && contains(*recording_));
}

std::optional<Refusal> Leader::RefusalOf(const jobs::AddJob& job) {
  if (auto refusal = CapRefusalOf(job)) {
    return refusal;
  }
  if (auto refusal = RoomRefusalOf(job)) {
    return refusal;
  }
  return LatenessRefusalOf(job);
}

std::optional<Refusal> Leader::RoomRefusalOf(const jobs::AddJob& job) {
  const auto retry_after =
      table_guard_.RetryAfter(context_.table(), job, context_.Now());
  return retry_after ? std::optional(Refusal{"table-full", *retry_after})
                     : std::nullopt;
}

std::optional<Refusal> Leader::LatenessRefusalOf(const jobs::AddJob& job) {
  const base::Instant now = context_.Now();
  const auto verdict = admission_.Judge(context_.table(), job, now);
  if (!verdict) {
    return std::nullopt;
  }
  metrics_.queues->OnEstimate(job.queue, verdict->wait);
  if (!verdict->IsTooLate()) {
    metrics_.queues->OnAccepted(job.queue, job.id, verdict->wait, now);
    return std::nullopt;
  }
  const Refusal refusal{"too-late", verdict->RetryAfter()};
  Decision line(refusal.reason);
  line.With("job", job.id)
      .With("queue", job.queue)
      .With("wait_us", verdict->wait)
      .With("limit_us", verdict->limit)
      .With("retry_after_us", refusal.retry_after);
  if (!job.customer.empty()) {
    line.With("customer", job.customer).With("excess", job.is_excess);
  }
  line.Write();
  return refusal;
}

void Leader::NoteWaits(const jobs::Changes& changes) {
  const base::Instant now = context_.Now();
  for (const jobs::StartRun& start : changes.started) {
    metrics_.queues->OnStarted(start.task.step.job, now);
  }
  for (const wire::JobId& job : changes.ended_jobs) {
    metrics_.queues->Forget(job);
  }
}

void Leader::ReportQueues() {
  const base::Instant now = context_.Now();
  if (now >= next_queue_report_) {
    next_queue_report_ = now + kQueueReportPeriod;
    metrics_.queues->Report();
    table_guard_.Report(context_.table(), now);
  }
}

}  // namespace sassafras::jobcontrol
