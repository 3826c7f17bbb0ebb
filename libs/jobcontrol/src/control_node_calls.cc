// Handles the calls of other processes, most of them as the leader.

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "control_node_impl.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

wire::ControlReply MakeReply(wire::ReplyStatus status,
                             nlohmann::json body = nlohmann::json::object()) {
  wire::ControlReply reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

wire::ControlReply MakeRefusal(std::string message) {
  wire::ControlReply reply = MakeReply(wire::ReplyStatus::kRefused);
  reply.message = std::move(message);
  return reply;
}

wire::ControlReply MakeOverloaded(const Refusal& refusal) {
  wire::ControlReply reply = MakeReply(wire::ReplyStatus::kNotRun);
  reply.message = refusal.reason;
  reply.retry_after_ms =
      std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after).count();
  return reply;
}

wire::ControlReply MakeDenial(wire::Denial denial, std::string_view reason) {
  wire::ControlReply reply = MakeReply(wire::ReplyStatus::kNotRun);
  reply.denial = denial;
  reply.message = reason;
  return reply;
}

// The customer's name is the entry's, as a key that was removed has none here.
void LogDenied(const Caller& caller,
               const jobs::QueueId& queue,
               const CallerRights& rights) {
  Decision("call-denied")
      .With("reason", rights.reason)
      .With("customer", caller.customer)
      .With("queue", queue)
      .Write();
}

RecordDone ReplyWhenRecorded(const cluster::ReplyDone& done) {
  return [done](RecordResult result) {
    using enum wire::ReplyStatus;
    if (result == RecordResult::kTaken) {
      done(MakeDenial(wire::Denial::kConflict, "id-in-use"));
      return;
    }
    done(MakeReply(result == RecordResult::kRecorded      ? kOk
                   : result == RecordResult::kNotRecorded ? kNotRun
                                                          : kUnknown));
  };
}

}  // namespace

void ControlNode::Impl::Handle(const std::string& method,
                               const nlohmann::json& body,
                               const cluster::ReplyDone& done) {
  const auto it = Methods().find(method);
  if (it == Methods().end()) {
    done(MakeRefusal("unknown control method \"" + method + "\""));
    return;
  }
  if (!leader_ || !replica().HasCommittedInTerm()) {
    NoteSearchingAdviser(method, body);
    wire::ControlReply reply = MakeReply(wire::ReplyStatus::kNotLeader);
    reply.leader = replica().Leader().name;
    done(reply);
    return;
  }
  // Bodies come from other processes and may be malformed. Each method parses
  // its body first, so that an exception leaves no partial effect.
  try {
    (this->*it->second)(body, done);
  } catch (const nlohmann::json::exception& error) {
    done(MakeRefusal(error.what()));
  }
}

const std::map<std::string, ControlNode::Impl::Method, std::less<>>&
ControlNode::Impl::Methods() {
  static const auto* const methods =
      new std::map<std::string, Method, std::less<>>{
          {std::string(kSubmitMethod), &Impl::Submit},
          {std::string(kStateMethod), &Impl::GetState},
          {std::string(kCancelMethod), &Impl::Cancel},
          {std::string(kCountMethod), &Impl::CountWaitingJobs},
          {std::string(kPutMethod), &Impl::PutManifest},
          {std::string(kGetMethod), &Impl::GetManifest},
          {std::string(kHeartbeatMethod), &Impl::OnForwardedHeartbeat},
          {std::string(kHeardMethod), &Impl::OnHeard},
          {std::string(kLeaveMethod), &Impl::OnLeave},
          {std::string(kHelloMethod), &Impl::OnHello},
          {std::string(kJoinMethod), &Impl::Join},
      };
  return *methods;
}

void ControlNode::Impl::OnHeartbeat(const WorkerHeartbeat& heartbeat,
                                    base::Duration timeout,
                                    const cluster::ReplyDone& done) {
  const bool follows = !leader_ && !replica().Leader().name.empty();
  if (follows && heard_workers_.Take(table_, heartbeat)) {
    done(MakeReply(wire::ReplyStatus::kOk));
    return;
  }
  client_->Call(std::string(kHeartbeatMethod), heartbeat, timeout,
                cluster::Resend::kYes, done);
}

void ControlNode::Impl::Submit(const nlohmann::json& body,
                               const cluster::ReplyDone& done) {
  auto submission = body.get<JobSubmission>();
  std::string fault = jobs::FaultOf(submission.job.spec);
  // A job that was accepted is never called invalid.
  if (fault.empty() && table_.FindJob(submission.job.id) == nullptr) {
    const jobs::TableBudget budget(
        TableLimits::MaxBytesOf(settings_.limits.memory_mb));
    fault = budget.FaultOf(submission.job.spec);
  }
  if (!fault.empty()) {
    done(MakeRefusal(fault));
    return;
  }
  const jobs::QueueId queue = submission.job.queue;
  WithRights(submission.caller, queue, done,
             [self = shared_from_this(), done, job = std::move(submission.job)](
                 const CallerRights& rights) mutable {
               self->SubmitAs(rights, std::move(job), done);
             });
}

void ControlNode::Impl::SubmitAs(const CallerRights& rights,
                                 jobs::AddJob job,
                                 const cluster::ReplyDone& done) {
  job.customer = rights.customer;
  const jobs::QueueId id = job.queue;
  WithCurrentQueue(id, done,
                   [self = shared_from_this(), done,
                    job = std::move(job)](const jobs::Queue& queue) mutable {
                     job.queue = queue.id;
                     const wire::JobId job_id = job.id;
                     const jobs::CustomerId customer = job.customer;
                     const auto refusal = self->leader_->Submit(
                         std::move(job), ReplyWhenRecorded(done));
                     if (refusal) {
                       self->Refuse(job_id, customer, *refusal, done);
                     }
                   });
}

void ControlNode::Impl::WithRights(
    const Caller& caller,
    const jobs::QueueId& queue,
    const cluster::ReplyDone& done,
    std::function<void(const CallerRights&)> then) {
  FindRights(*this, caller, queue,
             [self = shared_from_this(), caller, queue, done,
              then = std::move(then)](const auto& rights) {
               if (!rights || !self->leader_) {
                 done(MakeReply(wire::ReplyStatus::kNotRun));
               } else if (rights->denial == wire::Denial::kNone) {
                 then(*rights);
               } else {
                 LogDenied(caller, queue, *rights);
                 done(MakeDenial(rights->denial, rights->reason));
               }
             });
}

void ControlNode::Impl::LogHidden(const JobQuery& query,
                                  const CallerRights& rights) const {
  if (table_.FindJob(query.queue, query.job) != nullptr) {
    Decision("call-denied")
        .With("reason", "other-customer")
        .With("customer", rights.customer)
        .With("queue", query.queue)
        .With("job", query.job)
        .Write();
  }
}

// A later leader may have accepted the job, or this one another call for it
// meanwhile; then it must not be called refused. After "not-run" the entry asks
// the leader again.
void ControlNode::Impl::Refuse(const wire::JobId& job,
                               const jobs::CustomerId& customer,
                               const Refusal& refusal,
                               const cluster::ReplyDone& done) {
  driver_->Barrier(
      [self = shared_from_this(), job, customer, refusal, done](bool passed) {
        using enum wire::ReplyStatus;
        const jobs::JobRecord* accepted = self->table_.FindJob(job);
        if (!passed) {
          done(MakeReply(kNotRun));
        } else if (accepted == nullptr) {
          done(MakeOverloaded(refusal));
        } else {
          ReplyWhenRecorded(done)(accepted->customer == customer
                                      ? RecordResult::kRecorded
                                      : RecordResult::kTaken);
        }
      });
}

void ControlNode::Impl::WithFoundJob(
    const JobQuery& query,
    const CallerRights& rights,
    const cluster::ReplyDone& done,
    std::function<void(const jobs::JobRecord&)> then) {
  if (const jobs::JobRecord* job = FindVisibleJob(table_, query, rights)) {
    then(*job);
    return;
  }
  driver_->Barrier([self = shared_from_this(), query, rights, done,
                    then = std::move(then)](bool passed) {
    const jobs::JobRecord* job = FindVisibleJob(self->table_, query, rights);
    if (!passed) {
      done(MakeReply(wire::ReplyStatus::kNotRun));
    } else if (job == nullptr) {
      self->LogHidden(query, rights);
      done(MakeReply(wire::ReplyStatus::kOk, JobStatus{}));
    } else {
      then(*job);
    }
  });
}

void ControlNode::Impl::WithCurrentQueue(
    const jobs::QueueId& id,
    const cluster::ReplyDone& done,
    std::function<void(const jobs::Queue&)> then) {
  if (const jobs::Queue* queue = table_.FindCurrentQueue(id)) {
    then(*queue);
    return;
  }
  driver_->Barrier([self = shared_from_this(), id, done,
                    then = std::move(then)](bool passed) {
    const jobs::Queue* queue = self->table_.FindCurrentQueue(id);
    if (!passed || !self->leader_) {
      done(MakeReply(wire::ReplyStatus::kNotRun));
    } else if (queue == nullptr) {
      done(MakeRefusal("the manifest has no queue \"" + id.str() + "\""));
    } else {
      then(*queue);
    }
  });
}

void ControlNode::Impl::GetState(const nlohmann::json& body,
                                 const cluster::ReplyDone& done) {
  const auto query = body.get<JobQuery>();
  WithRights(
      query.caller, query.queue, done,
      [self = shared_from_this(), query, done](const CallerRights& rights) {
        self->WithFoundJob(
            query, rights, done, [done](const jobs::JobRecord& job) {
              done(MakeReply(wire::ReplyStatus::kOk, JobStatusOf(job)));
            });
      });
}

void ControlNode::Impl::Cancel(const nlohmann::json& body,
                               const cluster::ReplyDone& done) {
  const auto query = body.get<JobQuery>();
  WithRights(
      query.caller, query.queue, done,
      [self = shared_from_this(), query, done](const CallerRights& rights) {
        self->WithFoundJob(query, rights, done,
                           [self, done](const jobs::JobRecord& job) {
                             self->CancelFound(job.id, done);
                           });
      });
}

void ControlNode::Impl::CancelFound(const wire::JobId& id,
                                    const cluster::ReplyDone& done) {
  if (!leader_) {
    done(MakeReply(wire::ReplyStatus::kNotRun));
    return;
  }
  leader_->Cancel(
      id, [self = shared_from_this(), done, id](RecordResult result) {
        const jobs::JobRecord* cancelled = self->table_.FindJob(id);
        if (result == RecordResult::kRecorded && cancelled != nullptr) {
          done(MakeReply(wire::ReplyStatus::kOk, JobStatusOf(*cancelled)));
        } else {
          ReplyWhenRecorded(done)(result);
        }
      });
}

void ControlNode::Impl::CountWaitingJobs(const nlohmann::json& body,
                                         const cluster::ReplyDone& done) {
  const auto query = body.get<JobQuery>();
  WithRights(query.caller, query.queue, done,
             [self = shared_from_this(), query, done](const CallerRights&) {
               self->WithCurrentQueue(
                   query.queue, done, [self, done](const jobs::Queue& queue) {
                     done(MakeReply(wire::ReplyStatus::kOk,
                                    self->table_.CountWaitingJobs(queue.id)));
                   });
             });
}

void ControlNode::Impl::PutManifest(const nlohmann::json& body,
                                    const cluster::ReplyDone& done) {
  auto manifest = body.get<jobs::Manifest>();
  const std::string fault = jobs::FaultOf(manifest);
  if (!fault.empty()) {
    done(MakeRefusal(fault));
    return;
  }
  leader_->PutManifest(std::move(manifest), ReplyWhenRecorded(done));
}

void ControlNode::Impl::GetManifest(const nlohmann::json&,
                                    const cluster::ReplyDone& done) {
  driver_->Barrier([self = shared_from_this(), done](bool passed) {
    const jobs::Manifest& manifest = self->table_.manifest();
    done(passed && manifest.version != 0
             ? MakeReply(wire::ReplyStatus::kOk, manifest.text)
             : MakeReply(wire::ReplyStatus::kNotRun));
  });
}

void ControlNode::Impl::OnForwardedHeartbeat(const nlohmann::json& body,
                                             const cluster::ReplyDone& done) {
  const auto heartbeat = body.get<WorkerHeartbeat>();
  const std::string fault = jobs::FaultOf(heartbeat.worker, WallNow());
  if (!fault.empty()) {
    done(MakeRefusal(fault));
    return;
  }
  leader_->OnHeartbeat(heartbeat.worker, heartbeat.clock_ms,
                       ReplyWhenRecorded(done));
}

void ControlNode::Impl::OnHeard(const nlohmann::json& body,
                                const cluster::ReplyDone& done) {
  for (const auto& it : body.get<std::vector<HeardWorker>>()) {
    leader_->OnHeard(it.boot, it.clock_ms);
  }
  done(MakeReply(wire::ReplyStatus::kOk));
}

void ControlNode::Impl::OnLeave(const nlohmann::json& body,
                                const cluster::ReplyDone& done) {
  leader_->OnLeave(body.get<jobs::WorkerBoot>(), ReplyWhenRecorded(done));
}

void ControlNode::Impl::NoteAdviser(const Hello& hello) {
  if (hello.is_adviser) {
    adviser_last_seen_[hello.name] = Now();
  }
}

void ControlNode::Impl::NoteSearchingAdviser(const std::string& method,
                                             const nlohmann::json& body) {
  wire::CodecReason why;
  const auto hello =
      method == kHelloMethod ? wire::FromValue<Hello>(body, why) : std::nullopt;
  if (hello) {
    NoteAdviser(*hello);
  }
}

void ControlNode::Impl::OnHello(const nlohmann::json& body,
                                const cluster::ReplyDone& done) {
  const auto hello = body.get<Hello>();
  NoteAdviser(hello);
  group_->OnStopping(hello.replica, hello.is_stopping);
  copy_support_.OnHello(hello);
  HelloReply answer;
  answer.members = Members();
  answer.newest_version = table_.manifest().version;
  if (const auto confirmed_at = LeadershipConfirmedAt()) {
    answer.confirmed_age_us = (Now() - *confirmed_at).count();
  }
  const bool lacks_manifest =
      hello.replica.empty() && !hello.fetches_manifest &&
      hello.manifest_version < table_.manifest().version;
  if (lacks_manifest && hello.unpacks_manifest) {
    answer.packed_manifest = packed_manifest_.Pack(table_.manifest());
    answer.packed_version = table_.manifest().version;
  } else if (lacks_manifest) {
    answer.manifest = table_.manifest();
    answer.manifest.text.clear();
  }
  done(MakeReply(wire::ReplyStatus::kOk, answer));
}

std::vector<consensus::Member> ControlNode::Impl::Members() const {
  const consensus::Membership& membership = replica().GetMembership();
  std::vector<consensus::Member> members = membership.voters;
  std::ranges::copy(membership.learners, std::back_inserter(members));
  return members;
}

void ControlNode::Impl::Join(const nlohmann::json& body,
                             const cluster::ReplyDone& done) {
  group_->Join(body.get<consensus::Member>());
  done(MakeReply(wire::ReplyStatus::kOk));
}

}  // namespace sassafras::jobcontrol
