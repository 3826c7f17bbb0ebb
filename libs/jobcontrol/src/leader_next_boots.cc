// The leader's part in the return of workers: finds out what the next boot of a
// worker runs before it takes the runs of the boot before for over.

#include <algorithm>
#include <ranges>
#include <utility>

#include "jobcontrol/leader.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

}  // namespace

void Leader::AwaitNextBoot(const jobs::WorkerInfo& worker, int64_t clock_ms) {
  const base::Instant now = context_.Now();
  auto it = next_boots_.find(worker.boot.id);
  if (it == next_boots_.end() ||
      it->second.boot().started_ms < worker.boot.started_ms) {
    Decision("next-boot")
        .With("worker", worker.boot.id)
        .With("boot", worker.boot.started_ms)
        .Write();
    jobs::WorkerRecord record;
    record.info = worker;
    jobs::WorkerSession session(record, options_.session, now, ++last_session_);
    session.WithholdLease();
    it = next_boots_.insert_or_assign(worker.boot.id, std::move(session)).first;
  }
  jobs::WorkerSession& next = it->second;
  if (next.boot() != worker.boot || next.IsLateHeartbeat(clock_ms)) {
    return;
  }
  jobs::WorkerInfo info = worker;
  info.is_draining |= next.info().is_draining;
  next.OnHeartbeat(info, clock_ms, now);
  SendPendingCalls(next);
}

void Leader::CallNextBoots() {
  for (auto& next : next_boots_ | std::views::values) {
    SendPendingCalls(next);
  }
}

// What the next boot reports of a run that was ordered for the boot before
// belongs to that run.
void Leader::OnNextBootReply(jobs::WorkerSession& next,
                             std::span<const jobs::EndRun> ends) {
  for (jobs::EndRun end : ends) {
    end.worker = sessions_.at(next.boot().id).boot();
    AddEndFromLists(std::move(end));
  }
  if (next.RunsNothing()) {
    AdmitNextBoot(next.info());
  } else {
    SendPendingCalls(next);
  }
  Flush();
}

void Leader::AdmitNextBoot(jobs::WorkerInfo next) {
  next_boots_.erase(next.boot.id);
  DeclareLost(sessions_.at(next.boot.id), LossProof::kLaterBoot);
  RecordWorker(std::move(next));
}

// A next boot that has fallen silent may have been given the longest lease by a
// call that was meant for the boot before.
void Leader::GiveUpSilentNextBoots() {
  const base::Instant now = context_.Now();
  std::erase_if(next_boots_, [&](const auto& entry) {
    if (!entry.second.IsLost(now)) {
      return false;
    }
    DeclareLost(sessions_.at(entry.first), LossProof::kLaterBoot);
    return true;
  });
}

void Leader::DropSupersededNextBoots() {
  std::erase_if(next_boots_, [this](const auto& entry) {
    const auto it = sessions_.find(entry.first);
    return it == sessions_.end() ||
           it->second.boot().started_ms >= entry.second.boot().started_ms;
  });
}

bool Leader::IsReplaced(const jobs::WorkerSession& session) const {
  const auto it = next_boots_.find(session.boot().id);
  return it != next_boots_.end() && it->second.boot() != session.boot();
}

jobs::WorkerSession* Leader::FindNextBoot(const SessionId& id) {
  const auto it = next_boots_.find(id.boot.id);
  const bool is_found = it != next_boots_.end() &&
                        it->second.boot() == id.boot &&
                        it->second.number() == id.number;
  return is_found ? &it->second : nullptr;
}

}  // namespace sassafras::jobcontrol
