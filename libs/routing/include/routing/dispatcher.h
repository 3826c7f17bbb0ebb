// Handles every caller request at one entry: admission, queueing, choice of
// upstream, retries, forwarding to other entries and the final response.

#ifndef ROUTING_DISPATCHER_H_
#define ROUTING_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "base/time.h"
#include "routing/effects.h"
#include "routing/error.h"
#include "routing/events.h"
#include "wire/ids.h"
#include "wire/routing.h"

namespace sassafras::routing {

struct DispatcherOptions {
  wire::EntryId entry;
  wire::Incarnation incarnation;
  wire::ZoneId zone;
  uint64_t seed = 1;  // seeds the random choice among equally good targets
  // Maximum time for which an uncommitted proposal is retried before the caller
  // gets a response: `unknown` for a close, `not-run` for an admission.
  base::Duration commit_timeout = std::chrono::seconds(2);
  // Maximum time that a request is queued while its service has upstreams but
  // this entry has no slot granted on any of them.
  base::Duration grant_timeout = std::chrono::milliseconds(1000);
  // Minimum pause before an uncommitted proposal is retried.
  base::Duration commit_retry = std::chrono::milliseconds(100);
  // Each ejection of an upstream lasts twice as long as the one before,
  // starting at `min_ejection_time` and bounded by `max_ejection_time`.
  base::Duration min_ejection_time = std::chrono::seconds(1);
  base::Duration max_ejection_time = std::chrono::seconds(60);
  uint32_t failures_to_eject = 3;  // consecutive failures
  // A try that timed out counts as occupying its slot for this long, because
  // the upstream may still be working on it.
  base::Duration abandoned_slot_time = std::chrono::seconds(30);
  // Upper bound of the retry budget that a service can accumulate.
  uint32_t max_retry_tokens = 10;
  // Maximum number of concurrent requests, including queued ones.
  uint32_t max_requests = 20000;
};

struct DispatcherCounters {
  uint64_t arrived = 0;
  uint64_t tries = 0;
  uint64_t retries = 0;
  uint64_t completed = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t forwarded = 0;
  uint64_t ejections = 0;
  uint32_t waiting = 0;    // requests currently in a queue
  uint32_t in_flight = 0;  // slots currently in use
};

// Not thread-safe: all calls must come from one strand. All instants must come
// from one monotonic clock.
class Dispatcher {
 public:
  // Returns nullopt and sets `why` to kInvalidOptions if an option is invalid.
  static std::optional<Dispatcher> Create(const DispatcherOptions& options,
                                          RoutingReason& why);
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;
  ~Dispatcher();

  // Applies one event and returns the effects that the caller must perform.
  Effects Step(base::Instant now, const Event& event);

  // The instant at which the next Tick is due; Instant::max() if none is.
  base::Instant NextDeadline() const;

  // Builds the renewal to send now, once, to one leader. Only the answer to the
  // newest renewal is applied, so the service must not build the next one until
  // the last was answered or abandoned. Drops all grants if the session has
  // expired. Before it sends the renewal the service must close connections
  // that exceed the granted number.
  wire::EntryRenewal BuildRenewal(base::Instant now);

  // True if there are no requests and no slot is in use.
  bool IsIdle() const;

  // The instant at which the session, and with it every grant, expires.
  base::Instant SessionUntil() const;

  DispatcherCounters Counters() const;

 private:
  class Impl;
  explicit Dispatcher(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_DISPATCHER_H_
