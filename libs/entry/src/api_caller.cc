// The route of callers' requests: checks that the caller may use the service,
// reads the request's headers and passes the request to the dispatcher.

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "api_context.h"

namespace sassafras::entry {
namespace {

constexpr size_t kMaxKeyBytes = 128;  // of the Idempotency-Key header
constexpr std::string_view kServicesPrefix = "/v1/services/";

// Idempotent methods according to RFC 9110, section 9.2.2.
bool IsIdempotentMethod(std::string_view method) {
  constexpr std::array<std::string_view, 6> kMethods = {
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
  return std::ranges::find(kMethods, method) != kMethods.end();
}

// Returns true for request headers that the entry consumes or sets itself; the
// values that the caller sent aren't passed to the upstream.
bool IsInternalHeader(std::string_view name) {
  return boost::beast::iequals(name, "authorization") ||
         boost::beast::iequals(name, "request-timeout-ms") ||
         boost::beast::iequals(name, "sassafras-owner") ||
         boost::beast::iequals(name, "sassafras-first-sending");
}

// Returns the part of the target after the service's name. It always begins
// with a slash.
std::string UpstreamTarget(std::string_view target) {
  const size_t end = target.find_first_of("/?", kServicesPrefix.size());
  if (end == std::string_view::npos) {
    return "/";
  }
  const std::string rest(target.substr(end));
  return rest.front() == '/' ? rest : "/" + rest;
}

// Returns the timeout from the header Request-Timeout-Ms, or `default_timeout`
// if the header is missing, in both cases at most the maximum. Returns nullopt
// if the header isn't a positive whole number.
std::optional<base::Duration> ParseTimeout(const ApiCall& call,
                                           base::Duration default_timeout,
                                           base::Duration max_timeout) {
  const auto text =
      http::FindHeader(call.request.headers, "Request-Timeout-Ms");
  if (text.empty()) {
    return std::min(default_timeout, max_timeout);
  }
  int64_t ms = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size() || ms <= 0) {
    return std::nullopt;
  }
  const auto max_timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(max_timeout)
          .count();
  return std::chrono::milliseconds(std::min(ms, max_timeout_ms));
}

// Returns null both for a service that doesn't exist and for one that the
// caller may not use, so that callers can't distinguish the two.
const document::ServicePolicy* FindPermittedService(
    const document::Document& document,
    const ApiCall& call) {
  const auto* policy = document.FindService(wire::ServiceId(call.path.at(2)));
  const bool is_permitted =
      policy && (call.is_platform() || policy->owner == call.identity.owner ||
                 std::ranges::find(policy->callers, call.identity.owner) !=
                     policy->callers.end());
  return is_permitted ? policy : nullptr;
}

CallerRequest MakeCallerRequest(const ApiCall& call,
                                const document::ServicePolicy& policy,
                                base::Duration timeout) {
  CallerRequest caller;
  caller.service = policy.service;
  caller.owner =
      call.identity.owner.empty() ? policy.owner : call.identity.owner;
  caller.priority = policy.priority;
  caller.timeout = timeout;
  caller.key = wire::RequestKey(
      std::string(http::FindHeader(call.request.headers, "Idempotency-Key")));
  caller.is_idempotent =
      caller.key.empty() && IsIdempotentMethod(call.request.method);
  caller.is_first_sending =
      http::FindHeader(call.request.headers, "Sassafras-First-Sending") ==
      "true";
  caller.watch = call.respond.watch;
  caller.request.method = call.request.method;
  caller.request.target = UpstreamTarget(call.request.target);
  caller.request.body = call.request.body;
  std::ranges::copy_if(
      call.request.headers, std::back_inserter(caller.request.headers),
      [](const auto& it) { return !IsInternalHeader(it.first); });
  caller.request.headers.emplace_back("Sassafras-Owner", caller.owner.str());
  return caller;
}

}  // namespace

void ServeCaller(const ApiDependencies& dependencies, ApiCall call) {
  const auto document = dependencies.entry.document();
  const auto* policy =
      document ? FindPermittedService(*document, call) : nullptr;
  if (!policy) {
    call.Refuse(404, "not-found", "no service \"" + call.path.at(2) + "\"");
    return;
  }
  const auto key = http::FindHeader(call.request.headers, "Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    call.Refuse(400, "key-too-long",
                "Idempotency-Key is longer than " +
                    std::to_string(kMaxKeyBytes) + " bytes");
    return;
  }
  const auto max_timeout =
      std::min<base::Duration>(dependencies.settings.limits.max_request_timeout,
                               std::chrono::milliseconds(policy->timeout_ms));
  const auto timeout = ParseTimeout(
      call, dependencies.settings.limits.default_request_timeout, max_timeout);
  if (!timeout) {
    call.Refuse(400, "bad-timeout",
                "Request-Timeout-Ms must be a positive whole number");
    return;
  }
  dependencies.entry.Serve(MakeCallerRequest(call, *policy, *timeout),
                           call.respond);
}

}  // namespace sassafras::entry
