// Handlers of the routes for document, jobs, heartbeats, reports and cluster
// membership.

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

// Timeouts of calls to the control leader.
constexpr auto kControlTimeout = std::chrono::milliseconds(3000);
constexpr auto kHeartbeatTimeout = std::chrono::milliseconds(1000);
// Retry-After of a 503, when the leader was unavailable.
constexpr int64_t kRetryAfterMs = 500;
// Retry-After of a 429, when the owner's quota was exhausted.
constexpr int64_t kQuotaRetryAfterMs = 5000;
constexpr int kTooManyRequests = 429;
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
  const bool is_fully_parsed =
      ec == std::errc() && end == text.data() + text.size();
  return is_fully_parsed ? std::optional(value) : std::nullopt;
}

// Queries the leader for the object `name` of the given kind, and responds with
// the value found or with 404. `name` is empty for kinds with one value only.
// If `wrapper_key` isn't empty, the value becomes the member of that name in a
// JSON object.
void Query(const ApiDependencies& dependencies,
           const ApiCall& call,
           std::string_view kind,
           std::string_view name,
           std::string_view wrapper_key = "") {
  const nlohmann::json body = {{"kind", kind},
                               {"name", name},
                               {"owner", call.identity.owner},
                               {"is_platform", call.is_platform()}};
  dependencies.client.Call(
      "query", body, kControlTimeout, cluster::Resend::kYes,
      [respond = call.respond, kind = std::string(kind),
       wrapper_key =
           std::string(wrapper_key)](const wire::ControlReply& reply) {
        if (reply.status != wire::ReplyStatus::kOk) {
          respond(AnswerToFailure(
              reply, "the query is read-only and can be sent again"));
        } else if (!reply.body.value("found", false)) {
          respond(http::ErrorAnswer(404, "not-found", "no such " + kind,
                                    "not-run"));
        } else if (wrapper_key.empty()) {
          respond(http::JsonAnswer(kOk, reply.body["value"]));
        } else {
          respond(http::JsonAnswer(kOk, {{wrapper_key, reply.body["value"]}}));
        }
      });
}

// Proposes a command and responds with its result; see AnswerToResult.
void Propose(const ApiDependencies& dependencies,
             const ApiCall& call,
             const wire::Command& command,
             int ok_status,
             std::string resend_hint) {
  dependencies.client.Propose(
      command, kControlTimeout,
      [respond = call.respond, ok_status,
       resend_hint = std::move(resend_hint)](const wire::ControlReply& it) {
        respond(AnswerToResult(it, ok_status, resend_hint));
      });
}

// Forwards the body to the leader and responds with the leader's reply.
void ForwardToLeader(const ApiDependencies& dependencies,
                     const ApiCall& call,
                     std::string method,
                     nlohmann::json body,
                     base::Duration timeout,
                     cluster::Resend resend) {
  dependencies.client.Call(
      std::move(method), std::move(body), timeout, resend,
      [respond = call.respond](const wire::ControlReply& reply) {
        respond(reply.status == wire::ReplyStatus::kOk
                    ? http::JsonAnswer(kOk, reply.body)
                    : AnswerToFailure(reply, "send the request again"));
      });
}

// Sets the member `field` of the body to the id in the path. If the body
// already has a different id there, responds with 400 and returns false, so
// that a body can't report for another worker or upstream than the path names.
bool SetIdFromPath(const ApiCall& call,
                   const char* field,
                   nlohmann::json& body) {
  const std::string& name = call.path.at(2);
  const nlohmann::json sent = body.value(field, nlohmann::json(name));
  if (sent != name) {
    call.Refuse(400, "wrong-name",
                std::string("\"") + field + "\" must be \"" + name +
                    "\", the id in the path");
    return false;
  }
  body[field] = name;
  return true;
}

bool IsNegative(const nlohmann::json& value) {
  return value.type() == nlohmann::json::value_t::number_integer &&
         value.get<int64_t>() < 0;
}

// Compares two values that aren't containers. Unlike operator==, distinguishes
// a negative integer from the large unsigned one with the same bits.
bool IsSameLeaf(const nlohmann::json& a, const nlohmann::json& b) {
  return a == b && (a.is_number_float() || IsNegative(a) == IsNegative(b));
}

// Returns the name of the first field of `sent` that `parsed` lacks or holds
// with a different value: an unknown field, an unknown enumeration value or a
// number out of range. Returns nullopt if there is no such field. `name` is the
// field that contains `sent`.
std::optional<std::string> FindAlteredField(const nlohmann::json& sent,
                                            const nlohmann::json& parsed,
                                            const std::string& name) {
  std::optional<std::string> altered;
  if (sent.is_object() && parsed.is_object()) {
    for (const auto& [key, value] : sent.items()) {
      const auto it = parsed.find(key);
      altered = it == parsed.end() ? key : FindAlteredField(value, *it, key);
      if (altered) {
        break;
      }
    }
  } else if (sent.is_array() && parsed.size() == sent.size()) {
    for (size_t n = 0; n < sent.size() && !altered; ++n) {
      altered = FindAlteredField(sent[n], parsed.at(n), name);
    }
  } else if (!IsSameLeaf(sent, parsed)) {
    altered = name;
  }
  return altered;
}

// Parses a body into a message. If the body has a field that the message lacks
// or a value that the field can't hold, responds with 400 and returns nullopt.
template <typename Message>
std::optional<Message> ReadMessage(const ApiCall& call,
                                   const nlohmann::json& body) {
  const nlohmann::json defaults = Message();
  for (const auto& [key, value] : body.items()) {
    if (!defaults.contains(key)) {
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
  if (const auto altered = FindAlteredField(body, *message, "")) {
    call.Refuse(400, "wrong-field",
                "field \"" + *altered +
                    "\" is unknown, or its value has the wrong type, is out of "
                    "range or isn't one of the allowed values");
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

http::Answer AnswerToQuotaResult(const wire::ControlReply& reply,
                                 int ok_status,
                                 std::string_view resend_hint) {
  wire::CodecReason why;
  const auto result =
      reply.status == wire::ReplyStatus::kOk
          ? wire::FromValue<wire::CommandResult>(reply.body, why)
          : std::nullopt;
  if (result && result->code == wire::ResultCode::kForbidden) {
    return http::ErrorAnswer(kTooManyRequests, "too-many", result->message,
                             "not-run", kQuotaRetryAfterMs);
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

void GetDocument(const ApiDependencies& dependencies, ApiCall call) {
  Query(dependencies, call, "document", "");
}

void GetSection(const ApiDependencies& dependencies, ApiCall call) {
  Query(dependencies, call, "section", call.path.at(3));
}

void PutSection(const ApiDependencies& dependencies, ApiCall call) {
  const auto change = call.request.Query("change");
  const auto base = call.request.Query("base");
  const auto version = base ? ParseNumber(*base) : std::nullopt;
  if (!change || change->empty() || !version) {
    call.Refuse(400, "missing-parameter",
                "the query parameters base=VERSION (a whole number) and "
                "change=ID are required");
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
  Propose(dependencies, call, command, kOk,
          "send the request again with the same change id");
}

void GetChange(const ApiDependencies& dependencies, ApiCall call) {
  Query(dependencies, call, "change", call.path.at(2));
}

// --- jobs ---

void SubmitJob(const ApiDependencies& dependencies, ApiCall call) {
  const auto body = ParseBody(call);
  auto spec = body ? ReadMessage<wire::JobSpec>(call, *body) : std::nullopt;
  if (!spec) {
    return;
  }
  if (spec->owner.empty()) {
    spec->owner = call.identity.owner;
  }
  if (!call.is_platform() && spec->owner != call.identity.owner) {
    call.Refuse(403, "forbidden",
                "\"owner\" must be the owner of the bearer token");
    return;
  }
  dependencies.client.Propose(
      wire::SubmitJob{*std::move(spec), 0}, kControlTimeout,
      [respond = call.respond](const wire::ControlReply& it) {
        respond(AnswerToQuotaResult(
            it, kCreated, "send the request again with the same job id"));
      });
}

void GetJob(const ApiDependencies& dependencies, ApiCall call) {
  Query(dependencies, call, "job", call.path.at(2));
}

void CancelJob(const ApiDependencies& dependencies, ApiCall call) {
  wire::CancelJobs command;
  command.jobs = {wire::JobId(call.path.at(2))};
  command.owner = call.identity.owner;
  command.is_platform = call.is_platform();
  Propose(dependencies, call, command, kOk, "send the request again");
}

// DELETE /v1/jobs with {"jobs": [ids]}. One command cancels all listed jobs.
void CancelJobs(const ApiDependencies& dependencies, ApiCall call) {
  const auto body = ParseBody(call);
  if (!body) {
    return;
  }
  wire::CodecReason why;
  const auto jobs = wire::FromValue<std::vector<wire::JobId>>(
      body->value("jobs", nlohmann::json()), why);
  if (!jobs || jobs->empty()) {
    call.Refuse(400, "missing-field",
                "\"jobs\" must be a non-empty array of job ids");
    return;
  }
  wire::CancelJobs command;
  command.jobs = *jobs;
  command.owner = call.identity.owner;
  command.is_platform = call.is_platform();
  Propose(dependencies, call, command, kOk, "send the request again");
}

// --- heartbeats ---

void WorkerHeartbeat(const ApiDependencies& dependencies, ApiCall call) {
  auto body = ParseBody(call);
  if (!body || !SetIdFromPath(call, "worker", *body) ||
      !ReadMessage<wire::WorkerHeartbeat>(call, *body)) {
    return;
  }
  ForwardToLeader(dependencies, call, "worker-heartbeat", *std::move(body),
                  kHeartbeatTimeout, cluster::Resend::kYes);
}

void UpstreamHeartbeat(const ApiDependencies& dependencies, ApiCall call) {
  auto body = ParseBody(call);
  if (!body || !SetIdFromPath(call, "upstream", *body) ||
      !ReadMessage<wire::UpstreamHeartbeat>(call, *body)) {
    return;
  }
  ForwardToLeader(dependencies, call, "upstream-heartbeat", *std::move(body),
                  kHeartbeatTimeout, cluster::Resend::kNo);
}

// --- reports and cluster membership ---

void GetReport(const ApiDependencies& dependencies, ApiCall call) {
  const std::string kind = call.path.at(2);
  // Maps each kind of report to the member that contains its value in the
  // response, or to an empty string if the value is the whole response. Other
  // kinds of queries have their own routes.
  static const std::map<std::string, std::string> wrapper_keys = {
      {"workers", "workers"},   {"upstreams", "upstreams"},
      {"services", "services"}, {"jobs", "jobs"},
      {"owners", "owners"},     {"cluster", ""}};
  const auto it = wrapper_keys.find(kind);
  if (it == wrapper_keys.end()) {
    call.Refuse(404, "not-found", "no report named \"" + kind + "\"");
    return;
  }
  Query(dependencies, call, kind, "", it->second);
}

void InitCluster(const ApiDependencies& dependencies, ApiCall call) {
  if (!dependencies.replica) {
    call.Refuse(409, "no-data-folder",
                "this process has no data folder, so it can't bootstrap a "
                "cluster");
    return;
  }
  boost::asio::post(
      dependencies.kernel.control(), [&dependencies, call = std::move(call)] {
        dependencies.replica->Bootstrap(
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

void AddReplica(const ApiDependencies& dependencies, ApiCall call) {
  auto body = ParseBody(call);
  if (!body) {
    return;
  }
  ForwardToLeader(dependencies, call, "cluster-add", *std::move(body),
                  kControlTimeout, cluster::Resend::kNo);
}

void RemoveReplica(const ApiDependencies& dependencies, ApiCall call) {
  const auto id = call.request.Query("id");
  nlohmann::json body = {{"name", call.path.at(3)}};
  if (id) {
    body["id"] = *id;
  }
  ForwardToLeader(dependencies, call, "cluster-remove", std::move(body),
                  kControlTimeout, cluster::Resend::kNo);
}

}  // namespace sassafras::entry
