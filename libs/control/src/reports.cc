// One handler function for each kind of query.

#include "reports.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "document/document.h"
#include "leader_term.h"

namespace sassafras::control {
namespace {

using nlohmann::json;

// The queried object and the reader.
struct QueryRequest {
  std::string name;
  document::Identity reader;

  bool is_platform() const { return reader.role == document::Role::kPlatform; }
  bool CanRead(const wire::OwnerId& owner) const {
    return is_platform() || reader.owner == owner;
  }
};

// Returns JSON null if the object does not exist or the reader may not see it.
using QueryHandler = json (*)(const LeaderTerm&, const QueryRequest&);

json SectionValue(const document::Section& section, bool with_history) {
  json value = {{"name", section.name},
                {"owner", section.owner},
                {"version", section.version},
                {"editor", section.editor},
                {"text", section.text}};
  if (with_history) {
    value["history"] = section.history;
  }
  return value;
}

json AnswerDocument(const LeaderTerm& term, const QueryRequest& request) {
  const document::Document& document = term.machine().document();
  json sections = json::array();
  for (const document::Section* it : document.VisibleTo(request.reader)) {
    sections.push_back(SectionValue(*it, false));
  }
  return {{"version", document.version()}, {"sections", std::move(sections)}};
}

json AnswerSection(const LeaderTerm& term, const QueryRequest& request) {
  const document::Document& document = term.machine().document();
  const document::Section* section =
      document.Find(wire::SectionId(request.name));
  const auto visible = document.VisibleTo(request.reader);
  const bool is_visible =
      section && std::ranges::find(visible, section) != visible.end();
  return is_visible ? SectionValue(*section, true) : json();
}

// A change is in force once every live entry has applied its document version.
// An entry that has not yet renewed its session with this leader is listed in
// "waiting_for" until it does so or its session ends.
json AnswerChange(const LeaderTerm& term, const QueryRequest& request) {
  const document::ChangeRecord* change = term.machine().document().FindChange(
      wire::ChangeId(request.name), request.reader);
  if (!change) {
    return json();
  }
  std::map<wire::EntryId, wire::Version> applied;
  for (const auto& view : term.ledger().Entries()) {
    applied[view.entry] = view.document_version;
  }
  json waiting = json::array();
  for (const auto& [id, entry] : term.machine().entries()) {
    if (entry.is_live && applied[id] < change->document_version) {
      waiting.push_back(id);
    }
  }
  return {{"change", change->change},
          {"section", change->section},
          {"version", change->version},
          {"document_version", change->document_version},
          {"editor", change->editor},
          {"in_force", waiting.empty()},
          {"waiting_for", waiting}};
}

json TaskValue(uint32_t index, const state::TaskRecord& task) {
  return {{"index", index},
          {"state", task.state},
          {"worker", task.worker},
          {"attempt", task.attempt},
          {"failures", task.failures},
          {"has_started", task.has_started},
          {"reason", task.reason}};
}

json AnswerJob(const LeaderTerm& term, const QueryRequest& request) {
  const state::JobRecord* job =
      term.machine().FindJob(wire::JobId(request.name));
  if (!job || !request.CanRead(job->spec.owner)) {
    return json();
  }
  json tasks = json::array();
  for (uint32_t n = 0; n < job->tasks.size(); ++n) {
    tasks.push_back(TaskValue(n, job->tasks[n]));
  }
  return {{"spec", job->spec},
          {"state", job->state},
          {"reason", job->reason},
          {"tasks", std::move(tasks)}};
}

// `request.name` is the idempotency key. Only admissions of the reader's owner
// are found.
json AnswerAdmission(const LeaderTerm& term, const QueryRequest& request) {
  const state::AdmissionRecord* admission = term.machine().FindAdmission(
      request.reader.owner, wire::RequestKey(request.name));
  if (!admission) {
    return json();
  }
  return {{"state", admission->state},
          {"digest", admission->digest},
          {"entry", admission->entry},
          {"incarnation", admission->incarnation},
          {"answer", admission->answer}};
}

json AnswerWorkers(const LeaderTerm& term, const QueryRequest& request) {
  json workers = json::array();
  if (!request.is_platform()) {
    return workers;
  }
  for (const auto& [id, worker] : term.machine().workers()) {
    workers.push_back({{"id", id},
                       {"zone", worker.zone},
                       {"rack", worker.rack},
                       {"state", worker.state},
                       {"is_live", worker.is_live},
                       {"is_quarantined", worker.is_quarantined},
                       {"reason", worker.quarantine_reason},
                       {"capacity", worker.capacity},
                       {"reserved", worker.reserved},
                       {"tasks", worker.tasks.size()}});
  }
  return workers;
}

bool CanReadService(const LeaderTerm& term,
                    const QueryRequest& request,
                    const wire::ServiceId& service) {
  const auto* policy = term.machine().document().FindService(service);
  return request.is_platform() || (policy && request.CanRead(policy->owner));
}

json AnswerUpstreams(const LeaderTerm& term, const QueryRequest& request) {
  json upstreams = json::array();
  for (const auto& it : term.ledger().Upstreams(kernel::MonotonicNow())) {
    if (!CanReadService(term, request, it.last.service)) {
      continue;
    }
    upstreams.push_back({{"id", it.last.upstream},
                         {"service", it.last.service},
                         {"zone", it.last.zone},
                         {"address", it.last.address},
                         {"port", it.last.port},
                         {"state", it.last.state},
                         {"is_live", it.is_live},
                         {"slots", it.last.slots},
                         {"granted", it.granted},
                         {"held_back", it.held_back},
                         {"busy", it.last.busy}});
  }
  return upstreams;
}

json AnswerServices(const LeaderTerm& term, const QueryRequest& request) {
  json services = json::array();
  const auto upstreams = term.ledger().Upstreams(kernel::MonotonicNow());
  for (const auto& policy : term.machine().document().services()) {
    if (!request.CanRead(policy.owner)) {
      continue;
    }
    const auto is_ready = [&](const routing::UpstreamView& it) {
      return it.last.service == policy.service && it.is_live &&
             it.last.state == wire::UpstreamState::kReady;
    };
    services.push_back(
        {{"name", policy.service},
         {"section", policy.section},
         {"owner", policy.owner},
         {"priority", policy.priority},
         {"ready_upstreams", std::ranges::count_if(upstreams, is_ready)}});
  }
  return services;
}

json AnswerJobs(const LeaderTerm& term, const QueryRequest& request) {
  json jobs = json::array();
  for (const auto& [id, job] : term.machine().jobs()) {
    if (!request.CanRead(job.spec.owner)) {
      continue;
    }
    std::map<wire::TaskState, size_t> counts;
    for (const auto& task : job.tasks) {
      ++counts[task.state];
    }
    jobs.push_back({{"id", id},
                    {"owner", job.spec.owner},
                    {"kind", job.spec.kind},
                    {"state", job.state},
                    {"reason", job.reason},
                    {"tasks", job.tasks.size()},
                    {"pending", counts[wire::TaskState::kPending]},
                    {"running", counts[wire::TaskState::kRunning]},
                    {"done", counts[wire::TaskState::kDone]},
                    {"failed", counts[wire::TaskState::kFailed]},
                    {"cancelled", counts[wire::TaskState::kCancelled]}});
  }
  return jobs;
}

json AnswerOwners(const LeaderTerm& term, const QueryRequest& request) {
  json owners = json::array();
  for (const auto& it : term.scheduler().ReportOwners(kernel::MonotonicNow())) {
    if (!request.CanRead(it.owner)) {
      continue;
    }
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.longest_wait);
    owners.push_back({{"owner", it.owner},
                      {"weight", it.weight},
                      {"held", it.held},
                      {"fair_share", it.fair_share},
                      {"dominant_share", it.dominant_share},
                      {"lent", it.lent},
                      {"borrowed", it.borrowed},
                      {"waiting_tasks", it.waiting_tasks},
                      {"longest_wait_ms", wait.count()}});
  }
  return owners;
}

json AnswerCluster(const LeaderTerm& term, const QueryRequest& request) {
  if (!request.is_platform()) {
    return json();
  }
  const consensus::Replica& replica = term.consensus_replica();
  json entries = json::array();
  for (const auto& view : term.ledger().Entries()) {
    entries.push_back({{"name", view.entry},
                       {"zone", view.zone},
                       {"document_version", view.document_version},
                       {"granted", view.granted}});
  }
  return {{"leader", replica.Self().name},
          {"term", replica.GetTerm()},
          {"commit", replica.CommitIndex()},
          {"document_version", term.machine().document().version()},
          {"replicas", ReportReplicas(replica)},
          {"entries", std::move(entries)}};
}

const std::map<std::string, QueryHandler>& QueryHandlers() {
  static const auto* const handlers = new std::map<std::string, QueryHandler>{
      {"document", AnswerDocument},   {"section", AnswerSection},
      {"change", AnswerChange},       {"job", AnswerJob},
      {"admission", AnswerAdmission}, {"workers", AnswerWorkers},
      {"upstreams", AnswerUpstreams}, {"services", AnswerServices},
      {"jobs", AnswerJobs},           {"owners", AnswerOwners},
      {"cluster", AnswerCluster}};
  return *handlers;
}

}  // namespace

// Operators take the next host out of service once a replica is a voter. A
// promotion that isn't committed could be undone by that loss, and the quorum
// would be lost with it.
json ReportReplicas(const consensus::Replica& replica) {
  json replicas = json::array();
  const auto add = [&](const consensus::Member& member, const char* role) {
    const auto match = replica.MatchOf(member.id);
    replicas.push_back({{"name", member.name},
                        {"id", member.id},
                        {"role", role},
                        {"is_leader", member.id == replica.Self().id},
                        {"match", match ? match->value() : 0}});
  };
  const consensus::Membership& members = replica.CommittedMembership();
  std::ranges::for_each(members.voters, [&](auto& it) { add(it, "voter"); });
  std::ranges::for_each(members.learners,
                        [&](auto& it) { add(it, "learner"); });
  return replicas;
}

wire::ControlReply AnswerQuery(const LeaderTerm& term, const json& body) {
  const auto handler = QueryHandlers().find(body.value("kind", ""));
  if (handler == QueryHandlers().end()) {
    return RefusedReply("unknown query kind \"" + body.value("kind", "") +
                        "\"");
  }
  QueryRequest request;
  request.name = body.value("name", "");
  request.reader.owner = wire::OwnerId(body.value("owner", ""));
  request.reader.role = body.value("is_platform", false)
                            ? document::Role::kPlatform
                            : document::Role::kOperator;
  json value = handler->second(term, request);
  if (value.is_null()) {
    return OkReply({{"found", false}});
  }
  return OkReply({{"found", true}, {"value", std::move(value)}});
}

}  // namespace sassafras::control
