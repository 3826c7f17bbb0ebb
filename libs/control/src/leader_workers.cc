// Worker heartbeats: registration, attempt reports, lease renewal and commands.

#include <algorithm>
#include <utility>

#include "leader_term.h"
#include "wire/codec.h"

namespace sassafras::control {
namespace {

// Returns whether committing the report would change the task.
bool ChangesTask(const state::Machine& machine,
                 const wire::AttemptReport& report) {
  const state::TaskRecord* task = machine.FindTask(report.task);
  if (!task || task->attempt != report.attempt || !task->IsPlaced()) {
    return false;
  }
  return report.state != wire::AttemptState::kRunning ||
         task->state == wire::TaskState::kAssigned;
}

// Clears the payloads of attempts that the worker already reported. A payload
// may be large, so it is sent only until then.
void ClearDeliveredPayloads(const wire::WorkerHeartbeat& heartbeat,
                            wire::WorkerAnswer& answer) {
  for (auto& command : answer.commands) {
    const bool is_reported = std::ranges::any_of(
        heartbeat.attempts,
        [&](const auto& it) { return it.attempt == command.attempt; });
    if (is_reported) {
      command.payload.clear();
    }
  }
}

// Returns a message if the heartbeat is invalid.
std::optional<std::string> FindHeartbeatError(
    const wire::WorkerHeartbeat& heartbeat) {
  if (heartbeat.worker.empty() || heartbeat.incarnation.empty()) {
    return "a heartbeat must have \"worker\" and \"incarnation\"";
  }
  const wire::Resources zero;
  if (!zero.FitsIn(heartbeat.capacity)) {
    return "\"capacity\" must not be negative";
  }
  return std::nullopt;
}

}  // namespace

void LeaderTerm::WorkerHeartbeat(const nlohmann::json& body,
                                 const ReplyDone& done) {
  replica_.metrics().worker_heartbeats.Add();
  const base::Instant received = kernel::MonotonicNow();
  wire::CodecReason why;
  auto decoded = wire::FromValue<wire::WorkerHeartbeat>(body, why);
  if (!decoded) {
    done(RefusedReply(why.message));
    return;
  }
  if (const auto message = FindHeartbeatError(*decoded)) {
    done(RefusedReply(*message));
    return;
  }
  const auto heartbeat =
      std::make_shared<wire::WorkerHeartbeat>(*std::move(decoded));
  const auto self = shared_from_this();
  const Continuation answer = [self, heartbeat, received, done] {
    const base::Instant barrier_began = kernel::MonotonicNow();
    self->AfterBarrier(done, [self, heartbeat, received, barrier_began, done] {
      self->ReplyToWorker(*heartbeat, received, barrier_began, done);
    });
  };
  PutWorker(heartbeat, done, [self, heartbeat, done, answer] {
    self->ReportAttempts(heartbeat, done, answer);
  });
}

bool LeaderTerm::IsCurrentIncarnation(
    const wire::WorkerHeartbeat& heartbeat) const {
  const state::WorkerRecord* worker = machine().FindWorker(heartbeat.worker);
  return worker && worker->is_live &&
         worker->incarnation == heartbeat.incarnation;
}

void LeaderTerm::PutWorker(
    const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
    const ReplyDone& done,
    const Continuation& next) {
  const state::WorkerRecord* worker = machine().FindWorker(heartbeat->worker);
  const bool is_unchanged =
      IsCurrentIncarnation(*heartbeat) && worker->zone == heartbeat->zone &&
      worker->rack == heartbeat->rack && worker->state == heartbeat->state &&
      worker->capacity == heartbeat->capacity;
  if (is_unchanged) {
    next();
    return;
  }
  wire::PutWorker command;
  command.worker = heartbeat->worker;
  command.incarnation = heartbeat->incarnation;
  command.zone = heartbeat->zone;
  command.rack = heartbeat->rack;
  command.state = heartbeat->state;
  command.capacity = heartbeat->capacity;
  command.at_ms = kernel::WallNow();
  Commit(command, done,
         [heartbeat, done, next](const wire::CommandResult& result) {
           if (result.code == wire::ResultCode::kOk) {
             next();
           } else if (result.code == wire::ResultCode::kStale) {
             wire::WorkerAnswer answer;
             answer.sequence = heartbeat->sequence;
             answer.is_ended = true;
             done(OkReply(answer));
           } else {
             done(RefusedReply(result.message));
           }
         });
}

void LeaderTerm::ReportAttempts(
    const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
    const ReplyDone& done,
    const Continuation& next) {
  driver_->OnUsage(kernel::MonotonicNow(), *heartbeat);
  wire::ReportAttempts command;
  std::ranges::copy_if(heartbeat->attempts, std::back_inserter(command.reports),
                       [this](auto& it) { return ChangesTask(machine(), it); });
  if (command.reports.empty()) {
    next();
    return;
  }
  command.worker = heartbeat->worker;
  command.incarnation = heartbeat->incarnation;
  command.at_ms = kernel::WallNow();
  Commit(command, done, [next](const wire::CommandResult&) { next(); });
}

void LeaderTerm::ReplyToWorker(const wire::WorkerHeartbeat& heartbeat,
                               base::Instant received,
                               base::Instant barrier_began,
                               const ReplyDone& done) {
  wire::WorkerAnswer answer;
  answer.sequence = heartbeat.sequence;
  answer.is_ended = !IsCurrentIncarnation(heartbeat);
  const bool is_renewed =
      leases_.Renew({heartbeat.worker, heartbeat.incarnation}, received,
                    barrier_began, kernel::MonotonicNow());
  if (is_renewed) {
    answer.lease_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(leases_.lease())
            .count();
    answer.commands =
        machine().CommandsFor(heartbeat.worker, heartbeat.incarnation);
    ClearDeliveredPayloads(heartbeat, answer);
  }
  done(OkReply(answer));
}

}  // namespace sassafras::control
