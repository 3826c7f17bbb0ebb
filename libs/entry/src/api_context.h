// Context passed to the route handlers of the API (dependencies, request,
// identity of the sender, response callback), and the handlers themselves.

#ifndef ENTRY_SRC_API_CONTEXT_H_
#define ENTRY_SRC_API_CONTEXT_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/client.h"
#include "control/replica_service.h"
#include "document/document.h"
#include "entry/entry_service.h"
#include "http/message.h"
#include "http/server.h"
#include "settings/settings.h"
#include "wire/commands.h"
#include "wire/control.h"

namespace sassafras::entry {

// The components of the process that route handlers use. Must outlive every
// call.
struct ApiDependencies {
  const settings::Settings& settings;
  kernel::Kernel& kernel;
  EntryService& entry;
  cluster::Client& client;
  control::ReplicaService* replica;  // null if this isn't a control replica
};

// One HTTP request to the API.
struct ApiCall {
  http::Request request;
  std::vector<std::string> path;  // percent-decoded, without empty segments
  document::Identity identity;    // empty before authentication
  http::Respond respond;

  bool is_platform() const {
    return identity.role == document::Role::kPlatform;
  }
  // Responds with an error; this request has no effect. The outcome is
  // "unknown" if an earlier request with the same idempotency key may have run,
  // and "not-run" otherwise. A negative `retry_after_ms` omits Retry-After.
  void Refuse(int status,
              std::string_view code,
              std::string_view message,
              int64_t retry_after_ms = -1) const {
    respond(http::ErrorAnswer(status, code, message,
                              MayHaveRun() ? "unknown" : "not-run",
                              retry_after_ms));
  }

 private:
  bool MayHaveRun() const {
    const auto& headers = request.headers;
    return !http::FindHeader(headers, "Idempotency-Key").empty() &&
           http::FindHeader(headers, "Sassafras-First-Sending") != "true";
  }
};

// Maps a control reply other than kOk to an HTTP answer: 400 if the call was
// invalid, else 503 with the outcome. `resend_hint` is appended to the message
// if the outcome is unknown; it says how the request can safely be resent.
http::Answer AnswerToFailure(const wire::ControlReply& reply,
                             std::string_view resend_hint);

// Maps a command's result to an HTTP answer: `ok_status` for kOk, 200 for
// kDuplicate, else the status of the result code with message and details.
http::Answer AnswerToResult(const wire::ControlReply& reply,
                            int ok_status,
                            std::string_view resend_hint);

// Like AnswerToResult, for a command that can exceed an owner's quota:
// kForbidden becomes 429 with Retry-After, because quota may become available.
http::Answer AnswerToQuotaResult(const wire::ControlReply& reply,
                                 int ok_status,
                                 std::string_view resend_hint);

// Parses the body as a JSON object. If that fails, responds with 400 and
// returns nullopt.
std::optional<nlohmann::json> ParseBody(const ApiCall& call);

// Handlers of the routes that read or change the control state.
void GetDocument(const ApiDependencies& dependencies, ApiCall call);
void GetSection(const ApiDependencies& dependencies, ApiCall call);
void PutSection(const ApiDependencies& dependencies, ApiCall call);
void GetChange(const ApiDependencies& dependencies, ApiCall call);
void SubmitJob(const ApiDependencies& dependencies, ApiCall call);
void GetJob(const ApiDependencies& dependencies, ApiCall call);
void CancelJob(const ApiDependencies& dependencies, ApiCall call);
void CancelJobs(const ApiDependencies& dependencies, ApiCall call);
void WorkerHeartbeat(const ApiDependencies& dependencies, ApiCall call);
void UpstreamHeartbeat(const ApiDependencies& dependencies, ApiCall call);
void GetReport(const ApiDependencies& dependencies, ApiCall call);
void InitCluster(const ApiDependencies& dependencies, ApiCall call);
void AddReplica(const ApiDependencies& dependencies, ApiCall call);
void RemoveReplica(const ApiDependencies& dependencies, ApiCall call);

// Handler of callers' requests to a service.
void ServeCaller(const ApiDependencies& dependencies, ApiCall call);

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_API_CONTEXT_H_
