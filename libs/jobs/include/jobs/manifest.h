// The whole configuration of queues and services under one outer version: what
// makes it valid, and which queue a request belongs to.

#ifndef JOBS_MANIFEST_H_
#define JOBS_MANIFEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/types.h"

namespace sassafras::jobs {

// An outside service allows only some workers to run a queue's steps. One
// question takes `decide_ms` and `each_ms` for each worker named; what it
// allows stays valid for `valid_ms`.
struct AdvicePolicy {
  bool is_required = false;
  double decide_ms = 0;
  double each_ms = 0;
  int64_t valid_ms = 0;
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
  wire::ServiceId service;  // whose workers run the queue's tasks
  uint32_t priority = 0;    // 0 goes first
  uint32_t max_attempts = 1;
  int64_t request_timeout_ms = 0;
  int64_t target_latency_ms = 0;
  double stretch = 1;  // latency objective: times the longest chain of work
  AdvicePolicy advice;
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
                                                advice)

struct Manifest {
  uint64_t version = 0;  // 0: there is none yet
  std::vector<Queue> queues;
  std::vector<wire::ServiceId> services;
  std::string text;  // as the operator sent it

  const Queue* FindQueue(const QueueId& id) const;
  // The queue with that host and the longest prefix of `path`.
  const Queue* Route(std::string_view host, std::string_view path) const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Manifest,
                                                version,
                                                queues,
                                                services,
                                                text)

// Why the manifest must not come into force; empty where it may.
std::string FaultOf(const Manifest& manifest);

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_H_
