// The leader's part in the ends of runs: records and logs them, and says what
// proves them.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using jobs::FormatTaskName;
using telemetry::Decision;

}  // namespace

std::string_view Leader::ProofName(EndProof proof) {
  switch (proof) {
    case EndProof::kReported:
      return "reported";
    case EndProof::kUnlisted:
      return "unlisted";
    case EndProof::kRejected:
      return "rejected";
    case EndProof::kUnsent:
      return "unsent";
  }
  return "unknown";
}

// The worker was removed while its reply was on its way, and may never be heard
// again. Its ends aren't acknowledged.
void Leader::AddLateReports(const jobs::WorkerBoot& boot,
                            const jobs::HoldReply& reply) {
  if (!reply.is_answered) {
    return;  // The lists may be those of another boot.
  }
  for (const jobs::EndReport& report : reply.ended) {
    if (IsWanted(report.task)) {
      AddEnd({boot, report.task, report.run, report.outcome, report.checkpoint},
             EndProof::kReported);
    }
  }
  Flush();
}

void Leader::AddEnd(jobs::EndRun end, EndProof proof) {
  if (proof != EndProof::kReported) {
    LogGivenUp(end, ProofName(proof));
  }
  Decision("end")
      .With("task", FormatTaskName(end.task))
      .With("run", end.run)
      .With("worker", end.worker.id)
      .With("outcome", nlohmann::json(end.outcome).get<std::string>())
      .Write();
  auto& counter = end.outcome == jobs::RunOutcome::kRejected
                      ? metrics_.runs_rejected
                      : metrics_.runs_ended;
  counter.Add();
  filler_paces_.erase({end.task, end.run});
  scheduler_.OnEnd(end, context_.Now());
  progress_.OnEnd(end.task, end.run, end.outcome == jobs::RunOutcome::kDone,
                  context_.Now());
  const bool is_rejected = end.outcome == jobs::RunOutcome::kRejected;
  batch_.ends.push_back(end);
  if (is_rejected) {
    StopOtherGangMembers(end);
  }
}

void Leader::AddEndFromLists(jobs::EndRun end) {
  const EndProof proof = end.outcome == jobs::RunOutcome::kRejected
                             ? EndProof::kUnlisted
                             : EndProof::kReported;
  AddEnd(std::move(end), proof);
}

void Leader::LogGivenUp(const jobs::EndRun& end, std::string_view proof) {
  Decision line("given-up");
  line.With("task", FormatTaskName(end.task))
      .With("run", end.run)
      .With("worker", end.worker.id)
      .With("boot", end.worker.started_ms)
      .With("proof", proof)
      .With("term", options_.term);
  if (const jobs::WorkerSession* session = FindSession(end.worker)) {
    const jobs::LeaseReading lease = session->ReadLease(context_.Now());
    line.With("lease_ms", lease.bound_ms);
    if (lease.clock_ms) {
      line.With("clock_ms", *lease.clock_ms)
          .With("clock_age_us", lease.clock_age);
    }
  }
  line.Write();
}

// Stops the other members of the gang, which would wait in vain for the
// rejected one.
void Leader::StopOtherGangMembers(const jobs::EndRun& end) {
  const jobs::StepSpec* spec = FindStepSpec(end.task);
  const jobs::JobRecord* job = context_.table().FindJob(end.task.step.job);
  if (spec == nullptr || !spec->is_gang ||
      job->phase != jobs::JobPhase::kActive) {
    return;
  }
  for (auto& session : sessions_ | std::views::values) {
    const jobs::WorkerRecord* record =
        context_.table().FindWorker(session.boot().id);
    for (const jobs::OpenRun& run : record->runs) {
      const bool is_member = run.run == end.run &&
                             run.task.step == end.task.step &&
                             run.task != end.task;
      if (!is_member) {
        continue;
      }
      if (auto stopped = session.Stop(run.task, run.run)) {
        LogGivenUp(*stopped, ProofName(EndProof::kUnsent));
        batch_.ends.push_back(*std::move(stopped));
      }
    }
  }
}

}  // namespace sassafras::jobcontrol
