// The leader's part in the loss of workers: declares them lost, says what that
// tells about their runs, and clears tasks whose runs live on.

#include "jobcontrol/leader.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using jobs::FormatTaskName;
using telemetry::Decision;

std::string NameOf(jobs::CrashRole role) {
  return nlohmann::json(role).get<std::string>();
}

// Formats the crashes for one log line: worker/boot/run/role@time of each.
std::string FormatCrashes(const jobs::Crashes& crashes) {
  std::string text;
  for (const jobs::CrashRecord& it : crashes) {
    text += (text.empty() ? "" : ",") + it.worker.id.str() + "/" +
            std::to_string(it.worker.started_ms) + "/" +
            std::to_string(it.run) + "/" + NameOf(it.role) + "@" +
            std::to_string(it.at_ms);
  }
  return text;
}

}  // namespace

std::string_view Leader::ProofName(LossProof proof) {
  return proof == LossProof::kLaterBoot ? "later-boot" : "lease";
}

void Leader::RemoveLostWorkers() {
  const base::Instant now = context_.Now();
  for (auto& session : sessions_ | std::views::values) {
    if (session.IsLost(now) && !IsReplaced(session)) {
      DeclareLost(session, LossProof::kLeaseExpired);
    }
  }
  GiveUpSilentNextBoots();
}

// A later leader that knew nothing of it would wait for the longest lease.
void Leader::AddSettledWorkers() {
  const base::Instant now = context_.Now();
  for (auto& session : sessions_ | std::views::values) {
    if (session.HasJustSettled(now)) {
      batch_.settled_workers.push_back(session.boot());
    }
  }
}

// A worker that comes back under its id, or another one at its address, shows
// that its process has ended. The other one rejects calls for its id.
void Leader::DeclareReplacedWorkersLost(const jobs::WorkerInfo& successor,
                                        int64_t clock_ms) {
  for (auto& session : sessions_ | std::views::values) {
    const jobs::WorkerInfo& info = session.info();
    const bool is_same_id = info.boot.id == successor.boot.id;
    const bool is_same_address =
        info.address == successor.address && info.port == successor.port;
    if ((!is_same_id && !is_same_address) ||
        info.boot.started_ms >= successor.boot.started_ms) {
      continue;
    }
    const jobs::WorkerRecord* record =
        context_.table().FindWorker(info.boot.id);
    const bool has_open_runs = record != nullptr && !record->runs.empty();
    if (is_same_id && has_open_runs &&
        !workers_being_removed_.contains(info.boot)) {
      AwaitNextBoot(successor, clock_ms);
    } else {
      DeclareLost(session, LossProof::kLaterBoot);
    }
  }
}

void Leader::DeclareLost(const jobs::WorkerSession& session, LossProof proof) {
  if (!workers_being_removed_.insert(session.boot()).second) {
    return;
  }
  const bool has_crashed =
      proof == LossProof::kLaterBoot || session.RefusesConnections();
  Decision("worker-lost")
      .With("worker", session.boot().id)
      .With("boot", session.boot().started_ms)
      .With("proof", ProofName(proof))
      .With("refuses", session.RefusesConnections())
      .With("silent_us", context_.Now() - session.LastSignOfLife())
      .Write();
  metrics_.workers_lost.Add();
  const jobs::WorkerRecord& record =
      context_.table().workers().at(session.boot().id);
  if (has_crashed) {
    NoteCrash(session);
  }
  const auto roles = CrashRolesOf(record, session, has_crashed);
  for (size_t n = 0; n < record.runs.size(); ++n) {
    const jobs::OpenRun& run = record.runs[n];
    Decision("run-lost")
        .With("task", FormatTaskName(run.task))
        .With("run", run.run)
        .With("worker", session.boot().id)
        .With("age_us", session.AgeAtLastSign(run.task, run.run))
        .With("role", NameOf(roles[n]))
        .Write();
    batch_.ends.push_back({session.boot(), run.task, run.run,
                           jobs::RunOutcome::kLeaseExpired,
                           session.CheckpointOf(run.task, run.run), true,
                           roles[n], context_.WallNow()});
    LogGivenUp(batch_.ends.back(), ProofName(proof));
  }
  batch_.removed_workers.push_back(session.boot());
}

// A worker that was about to leave has left, which is nobody's fault.
std::vector<jobs::CrashRole> Leader::CrashRolesOf(
    const jobs::WorkerRecord& record,
    const jobs::WorkerSession& session,
    bool has_crashed) const {
  if (session.info().is_draining) {
    return std::vector<jobs::CrashRole>(record.runs.size());
  }
  auto roles = jobs::RolesOf(CrashedRunsOf(record, session), has_crashed);
  for (size_t n = 0; n < roles.size(); ++n) {
    const jobs::TaskKey& task = record.runs[n].task;
    const jobs::StepSpec* spec = FindStepSpec(task);
    const bool is_gang = spec != nullptr && spec->is_gang;
    roles[n] = crash_history_.Weigh(
        {session.boot(), task, is_gang, session.LastSignOfLife()}, roles[n]);
  }
  return roles;
}

void Leader::NoteCrash(const jobs::WorkerSession& session) {
  const jobs::WorkerRecord* record =
      context_.table().FindWorker(session.boot().id);
  if (record == nullptr || record->info.boot != session.boot()) {
    return;
  }
  jobs::WorkerCrash crash{session.boot(), session.LastSignOfLife(), {}};
  for (const jobs::CrashedRun& run : CrashedRunsOf(*record, session)) {
    if (jobs::MayBeCause(run)) {
      crash.suspects.push_back(run.task);
    }
  }
  crash_history_.Add(std::move(crash));
}

std::vector<jobs::CrashedRun> Leader::CrashedRunsOf(
    const jobs::WorkerRecord& record,
    const jobs::WorkerSession& session) const {
  std::vector<jobs::CrashedRun> runs;
  for (const jobs::OpenRun& run : record.runs) {
    const jobs::JobRecord* job = context_.table().FindJob(run.task.step.job);
    const jobs::TaskRecord* task =
        job == nullptr ? nullptr : job->FindTask(run.task);
    std::span<const jobs::CrashRecord> earlier;
    if (task != nullptr) {
      earlier = task->crashes;
    }
    runs.push_back(
        {run.task, session.AgeAtLastSign(run.task, run.run), earlier});
  }
  return runs;
}

void Leader::WatchSuspect(const jobs::StartRun& start) {
  const jobs::JobRecord* job = context_.table().FindJob(start.task.step.job);
  const jobs::TaskRecord* task =
      job == nullptr ? nullptr : job->FindTask(start.task);
  if (task == nullptr || task->crashes.empty()) {
    return;
  }
  unproven_runs_[{start.task, start.run}] = start.worker;
  Decision("trial")
      .With("task", FormatTaskName(start.task))
      .With("run", start.run)
      .With("worker", start.worker.id)
      .With("crashes", FormatCrashes(task->crashes))
      .Write();
  metrics_.trials_started.Add();
}

void Leader::ProveSuspects() {
  std::erase_if(unproven_runs_, [this](const auto& entry) {
    const auto& [task, run] = entry.first;
    const jobs::JobRecord* job = context_.table().FindJob(task.step.job);
    const jobs::TaskRecord* record =
        job == nullptr ? nullptr : job->FindTask(task);
    const jobs::WorkerSession* session = FindSession(entry.second);
    if (record == nullptr || session == nullptr || !record->is_open ||
        record->run != run) {
      return true;
    }
    if (session->AgeAtLastSign(task, run) <= jobs::ProofTime(record->crashes)) {
      return false;
    }
    Decision("cleared")
        .With("task", FormatTaskName(task))
        .With("run", run)
        .With("worker", entry.second.id)
        .Write();
    metrics_.suspects_cleared.Add();
    batch_.proven_runs.push_back({task, run});
    return true;
  });
}

void Leader::LogCrashCause(const jobs::CrashCause& cause) const {
  Decision("crash-cause")
      .With("task", FormatTaskName(cause.task))
      .With("crashes", FormatCrashes(cause.crashes))
      .Write();
  metrics_.jobs_given_up.Add();
}

}  // namespace sassafras::jobcontrol
