// Implementation of LeaderTerm except worker heartbeats (leader_workers.cc).

#include "leader_term.h"

#include <algorithm>
#include <utility>

#include "propose_reply.h"
#include "reports.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::control {
namespace {

// Interval between Expire commands, which remove state past its retention.
constexpr auto kExpirePeriod = std::chrono::seconds(10);
constexpr auto kMetricsPeriod = std::chrono::seconds(1);
// Allowance for drift between the monotonic clocks of the leader and the lease
// holder over one lease: 1/20 of the lease, at least 50 ms. Deliberately larger
// than the drift of real clocks.
constexpr int kDriftDivisor = 20;
constexpr auto kMinDrift = std::chrono::milliseconds(50);

base::Duration DriftAllowance(base::Duration lease) {
  return std::max<base::Duration>(lease / kDriftDivisor, kMinDrift);
}

// Sets the time of a command that has one to the leader's wall clock.
void SetCommandTime(wire::Command& command) {
  std::visit(
      [](auto& it) {
        if constexpr (requires { it.at_ms; }) {
          it.at_ms = kernel::WallNow();
        }
      },
      command);
}

}  // namespace

wire::ControlReply OkReply(nlohmann::json body) {
  wire::ControlReply reply;
  reply.status = wire::ReplyStatus::kOk;
  reply.body = std::move(body);
  return reply;
}

wire::ControlReply RefusedReply(std::string message) {
  wire::ControlReply reply;
  reply.status = wire::ReplyStatus::kRefused;
  reply.message = std::move(message);
  return reply;
}

LeaderTerm::LeaderTerm(const settings::Settings& settings,
                       ReplicaService& replica)
    : settings_(settings),
      replica_(replica),
      leases_({settings.timing.worker_lease,
               DriftAllowance(settings.timing.worker_lease)}) {}

std::shared_ptr<LeaderTerm> LeaderTerm::Create(
    const settings::Settings& settings,
    ReplicaService& replica,
    consensus::Term term,
    base::Instant now,
    std::string& why) {
  std::shared_ptr<LeaderTerm> leader(new LeaderTerm(settings, replica));
  return leader->Open(term, now, why) ? std::move(leader) : nullptr;
}

bool LeaderTerm::Open(consensus::Term term,
                      base::Instant now,
                      std::string& why) {
  routing::SlotLedgerOptions options;
  options.session = settings_.timing.session;
  options.drift_allowance = DriftAllowance(settings_.timing.session);
  options.upstream_lease = settings_.timing.upstream_lease;
  options.max_request_duration = settings_.limits.max_request_timeout;
  routing::RoutingReason ledger_why;
  ledger_ = routing::SlotLedger::Create(options, term.value(), now, ledger_why);
  placement::PlacementReason placement_why;
  driver_ = PlacementDriver::Create(replica_, now, placement_why);
  why = ledger_why.message + placement_why.message;
  std::vector<WorkerLeases::Holder> live_workers;
  for (const auto& [id, worker] : machine().workers()) {
    if (worker.is_live) {
      live_workers.push_back({id, worker.incarnation});
    }
  }
  leases_.StartTerm(now, live_workers);
  next_expire_ = now + kExpirePeriod;
  return ledger_ && driver_;
}

void LeaderTerm::OnChanges(base::Instant now,
                           const std::vector<state::Change>& changes) {
  for (const auto& change : changes) {
    if (const auto* worker = std::get_if<state::WorkerChanged>(&change)) {
      UpdateWorkerLease(now, worker->worker);
    }
  }
  driver_->OnChanges(now, changes);
  driver_->Plan(now);
}

void LeaderTerm::UpdateWorkerLease(base::Instant now,
                                   const wire::WorkerId& id) {
  const state::WorkerRecord* worker = machine().FindWorker(id);
  if (!worker) {
    return;
  }
  const WorkerLeases::Holder holder{id, worker->incarnation};
  if (!worker->is_live) {
    leases_.Forget(holder);
    ending_workers_.erase(id);
    return;
  }
  if (!leases_.Contains(holder)) {
    leases_.Begin(holder, now);
    ending_workers_.erase(id);
  }
}

void LeaderTerm::Tick(base::Instant now) {
  EndSessions(now);
  EndLeases(now);
  ExpireState(now);
  UpdateMetrics(now);
  const auto deadline = driver_->NextDeadline();
  if (driver_->has_more() || (deadline && *deadline <= now)) {
    driver_->Plan(now);
  }
}

void LeaderTerm::UpdateMetrics(base::Instant now) {
  if (now < next_metrics_) {
    return;
  }
  next_metrics_ = now + kMetricsPeriod;
  const ControlMetrics& metrics = replica_.metrics();
  metrics.sessions.Set(static_cast<double>(ledger_->Entries().size()));
  double live = 0;
  double granted = 0;
  for (const auto& it : ledger_->Upstreams(now)) {
    live += it.is_live ? 1 : 0;
    granted += it.granted;
  }
  metrics.upstreams.Set(live);
  metrics.slots_granted.Set(granted);
  double waiting = 0;
  for (const auto& it : scheduler().ReportOwners(now)) {
    waiting += static_cast<double>(it.waiting_tasks);
  }
  metrics.waiting_tasks.Set(waiting);
}

void LeaderTerm::EndSessions(base::Instant now) {
  for (const auto& ended : ledger_->Tick(now)) {
    telemetry::Decision("session")
        .With("what", "end")
        .With("entry", ended.entry)
        .With("incarnation", ended.incarnation)
        .Write();
    replica_.Propose(
        wire::EndEntry{ended.entry, ended.incarnation, kernel::WallNow()},
        [](const ProposeResult&) {});
  }
}

void LeaderTerm::EndLeases(base::Instant now) {
  for (const auto& holder : leases_.TakeExpired(now)) {
    if (!ending_workers_.insert(holder.id).second) {
      continue;
    }
    telemetry::Decision("lease")
        .With("what", "end")
        .With("worker", holder.id)
        .With("incarnation", holder.incarnation)
        .Write();
    replica_.Propose(
        wire::EndWorker{holder.id, holder.incarnation, kernel::WallNow()},
        [weak = weak_from_this(), id = holder.id](const ProposeResult& it) {
          const auto self = weak.lock();
          if (self && it.outcome != consensus::Outcome::kCommitted) {
            // Lets the next tick propose the command again.
            self->ending_workers_.erase(id);
          }
        });
  }
}

void LeaderTerm::ExpireState(base::Instant now) {
  if (now < next_expire_) {
    return;
  }
  next_expire_ = now + kExpirePeriod;
  replica_.Propose(wire::Expire{kernel::WallNow()},
                   [](const ProposeResult&) {});
}

void LeaderTerm::Commit(const wire::Command& command,
                        const ReplyDone& done,
                        std::function<void(const wire::CommandResult&)> next) {
  replica_.Propose(command,
                   [done, next = std::move(next)](const ProposeResult& it) {
                     if (it.outcome == consensus::Outcome::kCommitted) {
                       next(it.result);
                     } else {
                       done(ToControlReply(it, {}));
                     }
                   });
}

void LeaderTerm::AfterBarrier(const ReplyDone& done, Continuation next) {
  replica_.Barrier([done, next = std::move(next)](bool passed) {
    if (passed) {
      next();
      return;
    }
    wire::ControlReply reply;
    reply.status = wire::ReplyStatus::kNotRun;
    reply.message = "no quorum of control replicas confirmed the leader";
    done(reply);
  });
}

void LeaderTerm::Propose(const nlohmann::json& body, const ReplyDone& done) {
  const auto it = body.find("command");
  if (it == body.end() || !it->is_binary()) {
    done(RefusedReply("the field \"command\" must be a byte string"));
    return;
  }
  const auto& bytes = it->get_binary();
  wire::CodecReason why;
  auto command = wire::DecodeCommand(
      {reinterpret_cast<const char*>(bytes.data()), bytes.size()}, why);
  if (!command) {
    done(RefusedReply(why.message));
    return;
  }
  SetCommandTime(*command);
  replica_.Propose(*command, [done](const ProposeResult& result) {
    done(ToControlReply(result, result.result));
  });
}

void LeaderTerm::Query(const nlohmann::json& body, const ReplyDone& done) {
  AfterBarrier(done, [self = shared_from_this(), body, done] {
    done(AnswerQuery(*self, body));
  });
}

// --- entries and upstreams ---

void LeaderTerm::Renew(const nlohmann::json& body, const ReplyDone& done) {
  wire::CodecReason why;
  const auto renewal = wire::FromValue<wire::EntryRenewal>(
      body.value("renewal", nlohmann::json()), why);
  if (!renewal || renewal->entry.empty() || renewal->incarnation.empty()) {
    done(RefusedReply(
        "the field \"renewal\" must be an entry renewal with \"entry\" and "
        "\"incarnation\": " +
        why.message));
    return;
  }
  BeginEntry(*renewal, done, [self = shared_from_this(), it = *renewal, done] {
    self->AfterBarrier(done,
                       [self, it, done] { self->ReplyToEntry(it, done); });
  });
}

void LeaderTerm::BeginEntry(const wire::EntryRenewal& renewal,
                            const ReplyDone& done,
                            const Continuation& next) {
  const auto& entries = machine().entries();
  const auto it = entries.find(renewal.entry);
  if (it != entries.end() && it->second.incarnation == renewal.incarnation &&
      it->second.is_live) {
    next();
    return;
  }
  const wire::BeginEntry command{renewal.entry, renewal.incarnation,
                                 renewal.zone, kernel::WallNow()};
  Commit(command, done, [done, next](const wire::CommandResult& result) {
    if (result.code == wire::ResultCode::kOk) {
      next();
    } else {
      done(OkReply({{"ended", true}}));
    }
  });
}

void LeaderTerm::ReplyToEntry(const wire::EntryRenewal& renewal,
                              const ReplyDone& done) {
  routing::RoutingReason why;
  const auto answer = ledger_->Renew(kernel::MonotonicNow(), renewal, why);
  if (!answer) {
    done(RefusedReply(why.message));
    return;
  }
  const document::Document& document = machine().document();
  nlohmann::json body = {{"answer", *answer},
                         {"document_version", document.version()}};
  if (document.version() > renewal.document_version) {
    body["document"] = document.ToValue();
  }
  done(OkReply(std::move(body)));
}

void LeaderTerm::UpstreamHeartbeat(const nlohmann::json& body,
                                   const ReplyDone& done) {
  replica_.metrics().upstream_heartbeats.Add();
  wire::CodecReason codec_why;
  const auto heartbeat =
      wire::FromValue<wire::UpstreamHeartbeat>(body, codec_why);
  if (!heartbeat) {
    done(RefusedReply(codec_why.message));
    return;
  }
  AfterBarrier(done, [self = shared_from_this(), it = *heartbeat, done] {
    routing::RoutingReason why;
    const auto answer =
        self->ledger_->Announce(kernel::MonotonicNow(), it, why);
    done(answer ? OkReply(*answer) : RefusedReply(why.message));
  });
}

}  // namespace sassafras::control
