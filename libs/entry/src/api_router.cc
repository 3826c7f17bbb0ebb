// The route table of the API, the health probes, and authentication.

#include "api_router.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include <openssl/crypto.h>

namespace sassafras::entry {
namespace {

using document::Role;

constexpr std::string_view kBearerPrefix = "Bearer ";
// Retry-After of the 503 that is sent until the entry has received the
// document.
constexpr int64_t kNotReadyRetryAfterMs = 1000;

enum RoleBit : unsigned {
  kNoRole = 0,  // matches no route
  kCaller = 1,
  kWorker = 2,
  kOperator = 4,
  kPlatform = 8
};

unsigned BitOf(Role role) {
  switch (role) {
    case Role::kCaller:
      return kCaller;
    case Role::kWorker:
      return kWorker;
    case Role::kOperator:
      return kOperator;
    case Role::kPlatform:
      return kPlatform;
  }
  return kNoRole;
}

struct Route {
  std::string_view method;  // empty to match any method
  // Path segments. "*" matches one segment; "**", which must be the last one,
  // matches zero or more.
  std::vector<std::string_view> pattern;
  unsigned roles;  // mask of RoleBit
  void (*handler)(const ApiDependencies&, ApiCall);
};

const std::vector<Route>& Routes() {
  static const auto* const routes = new std::vector<Route>{
      {"",
       {"v1", "services", "*", "**"},
       kCaller | kOperator | kPlatform,
       ServeCaller},
      {"POST", {"v1", "jobs"}, kCaller | kOperator | kPlatform, SubmitJob},
      {"DELETE", {"v1", "jobs"}, kCaller | kOperator | kPlatform, CancelJobs},
      {"GET", {"v1", "jobs", "*"}, kCaller | kOperator | kPlatform, GetJob},
      {"DELETE",
       {"v1", "jobs", "*"},
       kCaller | kOperator | kPlatform,
       CancelJob},
      {"POST",
       {"v1", "workers", "*", "heartbeat"},
       kWorker | kPlatform,
       WorkerHeartbeat},
      {"POST",
       {"v1", "upstreams", "*", "heartbeat"},
       kWorker | kPlatform,
       UpstreamHeartbeat},
      {"GET", {"v1", "document"}, kOperator | kPlatform, GetDocument},
      {"GET",
       {"v1", "document", "sections", "*"},
       kOperator | kPlatform,
       GetSection},
      {"PUT",
       {"v1", "document", "sections", "*"},
       kOperator | kPlatform,
       PutSection},
      {"GET", {"v1", "changes", "*"}, kOperator | kPlatform, GetChange},
      {"GET", {"v1", "report", "*"}, kOperator | kPlatform, GetReport},
      {"POST", {"v1", "cluster", "init"}, kPlatform, InitCluster},
      {"POST", {"v1", "cluster", "replicas"}, kPlatform, AddReplica},
      {"DELETE", {"v1", "cluster", "replicas", "*"}, kPlatform, RemoveReplica},
  };
  return *routes;
}

bool Matches(std::span<const std::string_view> pattern,
             std::span<const std::string> path) {
  if (!pattern.empty() && pattern.back() == "**") {
    pattern = pattern.first(pattern.size() - 1);
    path = path.first(std::min(path.size(), pattern.size()));
  }
  return std::ranges::equal(pattern, path, [](auto& part, auto& name) {
    return part == "*" || part == name;
  });
}

// Compares texts of equal size in constant time, so that timing doesn't reveal
// the content of a secret.
bool IsEqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void ApiRouter::Handle(http::Request request, http::Respond respond) const {
  const auto path = http::SplitPath(request.path());
  ApiCall call{std::move(request), {}, {}, std::move(respond)};
  if (!path) {
    call.Refuse(400, "bad-path", "the path has an invalid percent-encoding");
    return;
  }
  call.path = *path;
  if (path->size() == 1 && AnswerProbe(call)) {
    return;
  }
  Dispatch(std::move(call));
}

// Probes and metrics require no token, because they contain no information
// about any owner.
bool ApiRouter::AnswerProbe(const ApiCall& call) const {
  const std::string& name = call.path.front();
  if (name == "healthz") {
    call.respond({.status = 200, .body = "ok\n"});
  } else if (name == "readyz") {
    const bool is_ready = !is_draining_ && dependencies_.entry.IsReady();
    call.respond({.status = is_ready ? 200 : 503,
                  .body = is_ready ? "ready\n" : "not ready\n"});
  } else if (name == "metrics") {
    call.respond({.status = 200,
                  .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                  .body = metrics_.Render()});
  } else {
    return false;
  }
  return true;
}

void ApiRouter::Dispatch(ApiCall call) const {
  const auto has_path = [&](const Route& it) {
    return Matches(it.pattern, call.path);
  };
  const auto has_method = [&](const Route& it) {
    return it.method.empty() || it.method == call.request.method;
  };
  const auto& routes = Routes();
  if (std::ranges::none_of(routes, has_path)) {
    call.Refuse(404, "not-found", "no route matches the path");
    return;
  }
  const auto route = std::ranges::find_if(
      routes, [&](auto& it) { return has_path(it) && has_method(it); });
  if (route == routes.end()) {
    call.Refuse(405, "wrong-method",
                call.request.method + " is not allowed for this path");
    return;
  }
  if (Authenticate(call, route->roles)) {
    route->handler(dependencies_, std::move(call));
  }
}

bool ApiRouter::Authenticate(ApiCall& call, unsigned roles) const {
  const auto header = http::FindHeader(call.request.headers, "Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    call.Refuse(401, "unauthenticated",
                "the header \"Authorization: Bearer TOKEN\" is required");
    return false;
  }
  const auto token = header.substr(kBearerPrefix.size());
  if (!FindIdentity(token, call.identity)) {
    if (!dependencies_.entry.document()) {
      call.Refuse(503, "not-ready",
                  "this entry has not received the document yet",
                  kNotReadyRetryAfterMs);
      return false;
    }
    call.Refuse(401, "unauthenticated", "the bearer token is unknown");
    return false;
  }
  if ((BitOf(call.identity.role) & roles) == 0) {
    call.Refuse(403, "forbidden",
                "the token's role isn't allowed to use this route");
    return false;
  }
  return true;
}

// The cluster secret is accepted as a token of the platform role: before the
// first document is put no other token exists.
bool ApiRouter::FindIdentity(std::string_view token,
                             document::Identity& found) const {
  if (IsEqualInConstantTime(token, dependencies_.settings.cluster.secret)) {
    found = {"cluster-secret", Role::kPlatform, {}};
    return true;
  }
  const auto document = dependencies_.entry.document();
  const auto* identity = document ? document->Authenticate(token) : nullptr;
  if (identity) {
    found = *identity;
  }
  return identity != nullptr;
}

}  // namespace sassafras::entry
