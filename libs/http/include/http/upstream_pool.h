// Connections to upstreams: sends one request, reads one whole answer, and
// says truthfully whether anything can have reached the upstream.

#ifndef HTTP_UPSTREAM_POOL_H_
#define HTTP_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "http/message.h"

namespace sassafras::http {

enum class TryError {
  kNone,
  kNotConnected,  // certain: not one byte of the request was written
  kRefused,       // the same, because nothing listens at the address
  kBrokenOff,     // the connection ended before the whole answer
  kTimeout,
  kTooLarge,  // the answer is larger than the limit
  kMalformed  // the answer isn't HTTP, or its end can't be known
};
using TryReason = base::Reason<TryError>;

// Whether not one byte of the request was written.
constexpr bool IsUnsent(TryError error) {
  return error == TryError::kNotConnected || error == TryError::kRefused;
}

struct UpstreamTarget {
  std::string address;  // IP number
  uint16_t port = 0;
  size_t max_connections = 64;  // granted to this process, at least 1
};

// One try of a request at one upstream.
struct UpstreamTry {
  UpstreamTarget target;
  Request request;  // hop-by-hop headers are dropped
  bool is_idempotent = false;
  base::Duration limit = std::chrono::seconds(30);
  // Nothing is written at or after this instant of the monotonic clock; such
  // a try fails with kNotConnected.
  base::Instant write_until = base::Instant::max();
};

// The whole answer, or nothing and the reason.
using TryDone = std::function<void(std::optional<Answer>, const TryReason&)>;

struct UpstreamPoolOptions {
  size_t max_answer_bytes = 16 << 20;
  base::Duration connect_limit = std::chrono::milliseconds(500);
  // Idle connections older than this carry no non-idempotent request.
  base::Duration fresh_limit = std::chrono::seconds(1);
  base::Duration idle_limit = std::chrono::seconds(10);
  // One thread runs the context, so calls to the pool need no strand.
  bool is_single_threaded = false;
};

// Thread-safe. `done` runs on a traffic thread, exactly once.
class UpstreamPool {
 public:
  static std::unique_ptr<UpstreamPool> Create(boost::asio::io_context& context,
                                              UpstreamPoolOptions options);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void Send(UpstreamTry attempt, TryDone done);

  // Closes idle connections to an upstream that has left or lost its grants.
  void Forget(const std::string& address, uint16_t port);

 private:
  class Impl;
  explicit UpstreamPool(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::http

#endif  // HTTP_UPSTREAM_POOL_H_
