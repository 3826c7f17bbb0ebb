// Manifest of queues, services and customers, versioned as a whole by the
// operator, and its validation. ManifestIndex finds its items.

#ifndef JOBS_MANIFEST_H_
#define JOBS_MANIFEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/customer.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Policy of the external placement service, which decides which workers may run
// a queue's steps. A query takes `decide_ms` plus `each_ms` per worker named.
// Its permits stay valid for `valid_ms`.
struct AdvicePolicy {
  bool is_required = false;
  double decide_ms = 0;
  double each_ms = 0;
  int64_t valid_ms = 0;

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdvicePolicy,
                                                is_required,
                                                decide_ms,
                                                each_ms,
                                                valid_ms)

struct Queue {
  QueueId id;
  std::string host;
  std::string path_prefix;
  wire::ServiceId service;  // service whose workers run the queue's tasks
  uint32_t priority = 0;    // 0 is the highest
  uint32_t max_attempts = 1;
  int64_t request_timeout_ms = 0;
  int64_t target_latency_ms = 0;
  // The latency objective of a job is this multiple of the estimated time of
  // its longest chain of dependent steps, plus `target_latency_ms`.
  double stretch = 1;
  AdvicePolicy advice;
  // Callers need no key, also where the manifest names customers.
  bool is_open = false;

  friend bool operator==(const Queue&, const Queue&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Queue,
                                                id,
                                                host,
                                                path_prefix,
                                                service,
                                                priority,
                                                max_attempts,
                                                request_timeout_ms,
                                                target_latency_ms,
                                                stretch,
                                                advice,
                                                is_open)

// Limits of callers' requests at entries. 0 leaves a limit to the settings of
// the process, which are also the upper bounds.
struct RequestLimits {
  uint32_t max_header_bytes = 0;
  uint32_t max_body_bytes = 0;
  int64_t header_timeout_ms = 0;
  int64_t idle_timeout_ms = 0;

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestLimits,
                                                max_header_bytes,
                                                max_body_bytes,
                                                header_timeout_ms,
                                                idle_timeout_ms)

// Raised whenever readers derive more of Manifest from the text.
inline constexpr uint32_t kManifestFormat = 1;

struct Manifest {
  uint64_t version = 0;  // 0 if no manifest was set yet
  std::vector<Queue> queues;
  std::vector<wire::ServiceId> services;
  std::string text;  // manifest as the operator sent it
  // Where there are none, callers need no keys.
  std::vector<Customer> customers;
  RequestLimits limits;
  // kManifestFormat of the program that read the text. A program drops the
  // members that it doesn't know, this one included, so 0 tells that
  // `customers`, `limits` and Queue::is_open may be missing.
  uint32_t format = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Manifest,
                                                version,
                                                queues,
                                                services,
                                                text,
                                                customers,
                                                limits,
                                                format)

// Reads a manifest as the operator sent it. Returns nullopt and sets `why` if
// the text is malformed.
using ManifestReader =
    std::function<std::optional<Manifest>(std::string text, std::string& why)>;

// Returns why the manifest is invalid, or an empty string if it is valid.
std::string FaultOf(const Manifest& manifest);

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_H_
