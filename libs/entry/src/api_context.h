// What a route's handler gets: the request, who sent it, and how to answer.

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

// The parts of the process that routes use. Outlives every call.
struct ApiParts {
  const settings::Settings& settings;
  kernel::Kernel& kernel;
  EntryService& entry;
  cluster::Client& client;
  control::ReplicaService* replica;  // null where there is none
};

struct ApiCall {
  http::Request request;
  std::vector<std::string> path;  // decoded, without empty parts
  document::Identity identity;    // empty on routes without authentication
  http::Respond respond;

  bool is_platform() const {
    return identity.role == document::Role::kPlatform;
  }
  // This sending doesn't run; an earlier one under its key may have.
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

// Answers a call whose control reply isn't kOk: 400, or 503 with the outcome.
// `resend_hint` tells what makes a resend safe.
http::Answer AnswerToFailure(const wire::ControlReply& reply,
                             std::string_view resend_hint);

// Answers with a command's result: `ok_status` for kOk, else the status of its
// code with message and details.
http::Answer AnswerToResult(const wire::ControlReply& reply,
                            int ok_status,
                            std::string_view resend_hint);

// The same for a command that an owner's bound can refuse: kForbidden is
// answered by 429 and Retry-After, since room may come back.
http::Answer AnswerToBounded(const wire::ControlReply& reply,
                             int ok_status,
                             std::string_view resend_hint);

// Parses the body as one message; answers 400 by itself where it can't.
std::optional<nlohmann::json> ParseBody(const ApiCall& call);

// The routes of the control state.
void GetDocument(const ApiParts& parts, ApiCall call);
void GetSection(const ApiParts& parts, ApiCall call);
void PutSection(const ApiParts& parts, ApiCall call);
void GetChange(const ApiParts& parts, ApiCall call);
void SubmitJob(const ApiParts& parts, ApiCall call);
void GetJob(const ApiParts& parts, ApiCall call);
void CancelJob(const ApiParts& parts, ApiCall call);
void CancelJobs(const ApiParts& parts, ApiCall call);
void WorkerHeartbeat(const ApiParts& parts, ApiCall call);
void UpstreamHeartbeat(const ApiParts& parts, ApiCall call);
void GetReport(const ApiParts& parts, ApiCall call);
void InitCluster(const ApiParts& parts, ApiCall call);
void AddReplica(const ApiParts& parts, ApiCall call);
void RemoveReplica(const ApiParts& parts, ApiCall call);

// A caller's request to a service.
void ServeCaller(const ApiParts& parts, ApiCall call);

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_API_CONTEXT_H_
