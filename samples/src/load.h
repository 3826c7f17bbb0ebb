// A load of requests to one service: sends them, checks every answer byte for
// byte, and counts the outcomes.

#ifndef SAMPLES_SRC_LOAD_H_
#define SAMPLES_SRC_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "client/call.h"
#include "http/message.h"
#include "ledger.h"
#include "telemetry/metrics.h"

namespace sassafras::samples {

enum class LoadMode {
  kIdempotent,  // PUT, may be resent
  kKeyed,       // POST with an Idempotency-Key, may be resent
  kPlain        // POST without a key, never resent once it may have run
};

struct LoadOptions {
  std::vector<client::Endpoint> entries;
  std::string token;
  std::string service;
  std::string path = "/echo";
  LoadMode mode = LoadMode::kIdempotent;
  uint64_t requests = 100;
  uint32_t concurrency = 8;
  uint32_t body_bytes = 200;
  uint64_t seed = 1;
  std::string key_prefix = "k";
  bool may_resend = true;
  // Keyed requests state at their first try that the key was never used.
  bool is_first_sending = true;
  base::Duration timeout = std::chrono::seconds(5);  // Request-Timeout-Ms
  base::Duration limit = std::chrono::seconds(30);   // with all resends
  http::Headers headers;                             // sent with every request
};

struct LoadResult {
  // By outcome: completed, failed (completed with a status of 500 or above),
  // not-run, unknown, refused (4xx), not-reached, no-answer.
  std::map<std::string, uint64_t> outcomes;
  uint64_t mismatches = 0;  // completed answers with other bytes
  uint64_t resends = 0;

  bool IsAllCompleted(uint64_t requests) const;
};

// Runs the whole load on one thread. `ledger` gets a line
// `told key=... tag=... outcome=... status=...` per request; `latency` the time
// until the last answer of each request.
LoadResult RunLoad(const LoadOptions& options,
                   Ledger& ledger,
                   telemetry::Histogram& latency);

// Bounds of about 5 % width, 50 us to 100 s.
std::vector<double> FineLatencyBounds();

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_LOAD_H_
