// Routes of the control state: document, jobs, heartbeats, reports, cluster.

#include <charconv>
#include <map>
#include <utility>

#include <boost/asio/post.hpp>

#include "api_context.h"
#include "wire/codec.h"
#include "wire/routing.h"
#include "wire/worker.h"

namespace sassafras::entry {
namespace {

constexpr auto kControlLimit = std::chrono::milliseconds(3000);
constexpr auto kHeartbeatLimit = std::chrono::milliseconds(1000);
constexpr int64_t kRetryAfterMs = 500;
constexpr int64_t kRetryAfterBoundMs = 5000;
constexpr int kTooMany = 429;
constexpr int kOk = 200;
constexpr int kCreated = 201;

int StatusOf(wire::ResultCode code) {
  switch (code) {
    case wire::ResultCode::kOk:
    case wire::ResultCode::kDuplicate:
      return kOk;
    case wire::ResultCode::kInvalid:
    case wire::ResultCode::kInfeasible:
      return 422;
    case wire::ResultCode::kConflict:
    case wire::ResultCode::kStale:
      return 409;
    case wire::ResultCode::kNotFound:
      return 404;
    case wire::ResultCode::kForbidden:
      return 403;
  }
  return 500;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_whole = ec == std::errc() && end == text.data() + text.size();
  return is_whole ? std::optional(value) : std::nullopt;
}

// Asks the leader and answers with the value found, or 404.
void Query(const ApiParts& parts,
           const ApiCall& call,
           std::string_view kind,
           std::string_view name,
           std::string_view wrap = "") {
  const nlohmann::json body = {{"kind", kind},
                               {"name", name},
                               {"owner", call.identity.owner},
                               {"is_platform", call.is_platform()}};
  parts.client.Call(
      "query", body, kControlLimit, cluster::Resend::kYes,
      [respond = call.respond, kind = std::string(kind),
       wrap = std::string(wrap)](const wire::ControlReply& reply) {
        if (reply.status != wire::ReplyStatus::kOk) {
          respond(AnswerToFailure(reply, "the question changes nothing"));
        } else if (!reply.body.value("found", false)) {
          respond(http::ErrorAnswer(404, "not-found", "no such " + kind,
                                    "not-run"));
        } else if (wrap.empty()) {
          respond(http::JsonAnswer(kOk, reply.body["value"]));
        } else {
          respond(http::JsonAnswer(kOk, {{wrap, reply.body["value"]}}));
        }
      });
}

void Propose(const ApiParts& parts,
             const ApiCall& call,
             const wire::Command& command,
             int ok_status,
             std::string hint) {
  parts.client.Propose(command, kControlLimit,
                       [respond = call.respond, ok_status,
                        hint = std::move(hint)](const wire::ControlReply& it) {
                         respond(AnswerToResult(it, ok_status, hint));
                       });
}

// Passes the body on to the leader and its answer back.
void PassOn(const ApiParts& parts,
            const ApiCall& call,
            std::string method,
            nlohmann::json body,
            base::Duration limit,
            cluster::Resend resend) {
  parts.client.Call(std::move(method), std::move(body), limit, resend,
                    [respond = call.respond](const wire::ControlReply& reply) {
                      respond(reply.status == wire::ReplyStatus::kOk
                                  ? http::JsonAnswer(kOk, reply.body)
                                  : AnswerToFailure(reply, "send it again"));
                    });
}

// Fills "id" fields from the path, so that a body can't name another.
bool TakeName(const ApiCall& call, const char* field, nlohmann::json& body) {
  const std::string& name = call.path.at(2);
  const nlohmann::json given = body.value(field, nlohmann::json(name));
  if (given != name) {
    call.Refuse(400, "wrong-name",
                std::string("\"") + field + "\" isn't \"" + name +
                    "\", which the path names");
    return false;
  }
  body[field] = name;
  return true;
}

bool IsNegative(const nlohmann::json& value) {
  return value.type() == nlohmann::json::value_t::number_integer &&
         value.get<int64_t>() < 0;
}

// Also tells apart a negative number and the large one with the same bits.
bool IsSameLeaf(const nlohmann::json& a, const nlohmann::json& b) {
  return a == b && (a.is_number_float() || IsNegative(a) == IsNegative(b));
}

// The name of the first field of `given` that `taken` doesn't hold as it was
// sent: an unknown field or word, or a number out of range.
std::optional<std::string> FindLostField(const nlohmann::json& given,
                                         const nlohmann::json& taken,
                                         const std::string& name) {
  std::optional<std::string> lost;
  if (given.is_object() && taken.is_object()) {
    for (const auto& [key, value] : given.items()) {
      const auto it = taken.find(key);
      lost = it == taken.end() ? key : FindLostField(value, *it, key);
      if (lost) {
        break;
      }
    }
  } else if (given.is_array() && taken.size() == given.size()) {
    for (size_t n = 0; n < given.size() && !lost; ++n) {
      lost = FindLostField(given[n], taken.at(n), name);
    }
  } else if (!IsSameLeaf(given, taken)) {
    lost = name;
  }
  return lost;
}

// Reads a body into a message and refuses fields that the message hasn't, or
// whose values it can't hold.
template <typename Message>
std::optional<Message> ReadMessage(const ApiCall& call,
                                   const nlohmann::json& body) {
  const nlohmann::json known = Message();
  for (const auto& [key, value] : body.items()) {
    if (!known.contains(key)) {
      call.Refuse(400, "unknown-field", "unknown field \"" + key + "\"");
      return std::nullopt;
    }
  }
  wire::CodecReason why;
  auto message = wire::FromValue<Message>(body, why);
  if (!message) {
    call.Refuse(400, "wrong-field", why.message);
    return std::nullopt;
  }
  if (const auto lost = FindLostField(body, *message, "")) {
    call.Refuse(400, "wrong-field",
                "the field \"" + *lost + "\" is unknown or can't be that");
    return std::nullopt;
  }
  return message;
}

}  // namespace

http::Answer AnswerToFailure(const wire::ControlReply& reply,
                             std::string_view resend_hint) {
  if (reply.status == wire::ReplyStatus::kRefused) {
    return http::ErrorAnswer(400, "refused", reply.message, "not-run");
  }
  if (reply.status == wire::ReplyStatus::kNotRun) {
    return http::ErrorAnswer(503, "no-leader", reply.message, "not-run",
                             kRetryAfterMs);
  }
  return http::ErrorAnswer(503, "unknown-outcome",
                           reply.message + "; " + std::string(resend_hint),
                           "unknown", kRetryAfterMs);
}

http::Answer AnswerToResult(const wire::ControlReply& reply,
                            int ok_status,
                            std::string_view resend_hint) {
  if (reply.status != wire::ReplyStatus::kOk) {
    return AnswerToFailure(reply, resend_hint);
  }
  wire::CodecReason why;
  const auto result = wire::FromValue<wire::CommandResult>(reply.body, why);
  if (!result) {
    return http::ErrorAnswer(500, "wrong-result", why.message, "unknown");
  }
  const bool is_duplicate = result->code == wire::ResultCode::kDuplicate;
  nlohmann::json body =
      result->details.is_object() ? result->details : nlohmann::json::object();
  if (result->code == wire::ResultCode::kOk || is_duplicate) {
    body["duplicate"] = is_duplicate;
    return http::JsonAnswer(is_duplicate ? kOk : ok_status, body);
  }
  const nlohmann::json error = {{"code", nlohmann::json(result->code)},
                                {"message", result->message},
                                {"outcome", "not-run"},
                                {"details", std::move(body)}};
  return http::JsonAnswer(StatusOf(result->code), error);
}

http::Answer AnswerToBounded(const wire::ControlReply& reply,
                             int ok_status,
                             std::string_view resend_hint) {
  wire::CodecReason why;
  const auto result =
      reply.status == wire::ReplyStatus::kOk
          ? wire::FromValue<wire::CommandResult>(reply.body, why)
          : std::nullopt;
  if (result && result->code == wire::ResultCode::kForbidden) {
    return http::ErrorAnswer(kTooMany, "too-many", result->message, "not-run",
                             kRetryAfterBoundMs);
  }
  return AnswerToResult(reply, ok_status, resend_hint);
}

std::optional<nlohmann::json> ParseBody(const ApiCall& call) {
  wire::CodecReason why;
  auto body = wire::ParseJson(call.request.body, why);
  if (!body || !body->is_object()) {
    call.Refuse(400, "broken-json",
                body ? "the body must be a JSON object" : why.message);
    return std::nullopt;
  }
  return body;
}

// --- document ---

void GetDocument(const ApiParts& parts, ApiCall call) {
  Query(parts, call, "document", "");
}

void GetSection(const ApiParts& parts, ApiCall call) {
  Query(parts, call, "section", call.path.at(3));
}

void PutSection(const ApiParts& parts, ApiCall call) {
  const auto change = call.request.Query("change");
  const auto base = call.request.Query("base");
  const auto version = base ? ParseNumber(*base) : std::nullopt;
  if (!change || change->empty() || !version) {
    call.Refuse(400, "missing-parameter",
                "the query needs base=VERSION and change=ID");
    return;
  }
  wire::PutSection command;
  command.section = wire::SectionId(call.path.at(3));
  command.text = call.request.body;
  command.base = wire::Version(*version);
  command.change = wire::ChangeId(*change);
  command.editor_owner = call.identity.owner;
  command.editor = call.identity.name;
  command.is_platform = call.is_platform();
  Propose(parts, call, command, kOk, "send it again with the same change id");
}

void GetChange(const ApiParts& parts, ApiCall call) {
  Query(parts, call, "change", call.path.at(2));
}

// --- jobs ---

void SubmitJob(const ApiParts& parts, ApiCall call) {
  const auto body = ParseBody(call);
  auto spec = body ? ReadMessage<wire::JobSpec>(call, *body) : std::nullopt;
  if (!spec) {
    return;
  }
  if (spec->owner.empty()) {
    spec->owner = call.identity.owner;
  }
  if (!call.is_platform() && spec->owner != call.identity.owner) {
    call.Refuse(403, "forbidden", "\"owner\" must be the token's own");
    return;
  }
  parts.client.Propose(wire::SubmitJob{*std::move(spec), 0}, kControlLimit,
                       [respond = call.respond](const wire::ControlReply& it) {
                         respond(AnswerToBounded(
                             it, kCreated, "send it again with the same id"));
                       });
}

void GetJob(const ApiParts& parts, ApiCall call) {
  Query(parts, call, "job", call.path.at(2));
}

void CancelJob(const ApiParts& parts, ApiCall call) {
  wire::CancelJobs command;
  command.jobs = {wire::JobId(call.path.at(2))};
  command.owner = call.identity.owner;
  command.is_platform = call.is_platform();
  Propose(parts, call, command, kOk, "send it again");
}

// DELETE /v1/jobs with {"jobs": [ids]}: one committed command for all.
void CancelJobs(const ApiParts& parts, ApiCall call) {
  const auto body = ParseBody(call);
  if (!body) {
    return;
  }
  wire::CodecReason why;
  const auto jobs = wire::FromValue<std::vector<wire::JobId>>(
      body->value("jobs", nlohmann::json()), why);
  if (!jobs || jobs->empty()) {
    call.Refuse(400, "missing-field", "\"jobs\" must list the jobs' ids");
    return;
  }
  wire::CancelJobs command;
  command.jobs = *jobs;
  command.owner = call.identity.owner;
  command.is_platform = call.is_platform();
  Propose(parts, call, command, kOk, "send it again");
}

// --- heartbeats ---

void WorkerHeartbeat(const ApiParts& parts, ApiCall call) {
  auto body = ParseBody(call);
  if (!body || !TakeName(call, "worker", *body) ||
      !ReadMessage<wire::WorkerHeartbeat>(call, *body)) {
    return;
  }
  PassOn(parts, call, "worker-heartbeat", *std::move(body), kHeartbeatLimit,
         cluster::Resend::kYes);
}

void UpstreamHeartbeat(const ApiParts& parts, ApiCall call) {
  auto body = ParseBody(call);
  if (!body || !TakeName(call, "upstream", *body) ||
      !ReadMessage<wire::UpstreamHeartbeat>(call, *body)) {
    return;
  }
  PassOn(parts, call, "upstream-heartbeat", *std::move(body), kHeartbeatLimit,
         cluster::Resend::kNo);
}

// --- reports and cluster ---

void GetReport(const ApiParts& parts, ApiCall call) {
  const std::string kind = call.path.at(2);
  // Other kinds of queries have routes of their own.
  static const std::map<std::string, std::string> wraps = {
      {"workers", "workers"},   {"upstreams", "upstreams"},
      {"services", "services"}, {"jobs", "jobs"},
      {"owners", "owners"},     {"cluster", ""}};
  const auto it = wraps.find(kind);
  if (it == wraps.end()) {
    call.Refuse(404, "not-found", "no report \"" + kind + "\"");
    return;
  }
  Query(parts, call, kind, "", it->second);
}

void InitCluster(const ApiParts& parts, ApiCall call) {
  if (!parts.replica) {
    call.Refuse(409, "no-data-folder",
                "this process has no data folder, so it can't form a cluster");
    return;
  }
  boost::asio::post(parts.kernel.control(), [&parts, call = std::move(call)] {
    parts.replica->Form(
        [respond = call.respond](const control::ProposeResult& result) {
          if (result.outcome == consensus::Outcome::kCommitted) {
            respond(http::JsonAnswer(kOk, {{"formed", true}}));
          } else {
            respond(http::ErrorAnswer(409, "not-formed", result.message,
                                      "not-run"));
          }
        });
  });
}

void AddReplica(const ApiParts& parts, ApiCall call) {
  auto body = ParseBody(call);
  if (!body) {
    return;
  }
  PassOn(parts, call, "cluster-add", *std::move(body), kControlLimit,
         cluster::Resend::kNo);
}

void RemoveReplica(const ApiParts& parts, ApiCall call) {
  const auto id = call.request.Query("id");
  nlohmann::json body = {{"name", call.path.at(3)}};
  if (id) {
    body["id"] = *id;
  }
  PassOn(parts, call, "cluster-remove", std::move(body), kControlLimit,
         cluster::Resend::kNo);
}

}  // namespace sassafras::entry
