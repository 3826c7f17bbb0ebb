// Selects the handler of a request by method and path, and authenticates and
// authorizes its sender.

#ifndef ENTRY_SRC_API_ROUTER_H_
#define ENTRY_SRC_API_ROUTER_H_

#include <atomic>
#include <string_view>

#include "api_context.h"
#include "http/server.h"
#include "telemetry/metrics.h"

namespace sassafras::entry {

// Thread-safe.
class ApiRouter {
 public:
  ApiRouter(const ApiDependencies& dependencies, telemetry::Metrics& metrics)
      : dependencies_(dependencies), metrics_(metrics) {}

  // Calls `respond` exactly once, either before it returns or later on a thread
  // of the kernel.
  void Handle(http::Request request, http::Respond respond) const;

  // Makes /readyz report "not ready" from now on.
  void BeginDrain() { is_draining_ = true; }

 private:
  // Answers a health probe or /metrics. Returns false if the path is neither.
  bool AnswerProbe(const ApiCall& call) const;
  void Dispatch(ApiCall call) const;
  // Sets the call's identity from its bearer token. Responds with an error and
  // returns false if the token is missing, unknown or not of one of `roles`, a
  // mask of role bits.
  bool Authenticate(ApiCall& call, unsigned roles) const;
  // Returns false if the token is unknown.
  bool FindIdentity(std::string_view token, document::Identity& found) const;

  const ApiDependencies dependencies_;
  telemetry::Metrics& metrics_;
  std::atomic<bool> is_draining_ = false;
};

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_API_ROUTER_H_
