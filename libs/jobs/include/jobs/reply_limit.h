// How long to wait for a worker's answer before the call is repeated, and
// whether so many calls get no answer that long polls should be short.

#ifndef JOBS_REPLY_LIMIT_H_
#define JOBS_REPLY_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace sassafras::jobs {

// The limit for the next call to one worker. Follows from the mean and the
// deviation of the round trips of its answers, like the retransmission timeout
// of RFC 6298, and doubles with each call without an answer until the next
// answer. Each repeated call is answered by itself, so every answer is a
// sample. Not thread-safe.
class ReplyLimit {
 public:
  // A busy leader reads an answer some tens of milliseconds late.
  static constexpr base::Duration kMin = std::chrono::milliseconds(100);
  static constexpr base::Duration kMax = std::chrono::milliseconds(400);

  // Between kMin and kMax.
  base::Duration Get() const;
  void OnAnswer(base::Duration round_trip);
  void OnNoAnswer();

 private:
  using Microseconds = std::chrono::duration<double, std::micro>;

  std::optional<Microseconds> mean_;  // none before the first answer
  Microseconds deviation_{};          // mean absolute deviation
  uint32_t unanswered_ = 0;           // calls since the last answer
};

// Calls to one worker. Calls without an answer count once the worker has
// answered a later one, and only if they are few, as a worker that is cut off
// says nothing about others.
struct CallCounts {
  uint32_t answered = 0;
  uint32_t unanswered = 0;
};

// The share of all workers' calls that have lately got no answer. Not
// thread-safe.
class CallLoss {
 public:
  void Add(const CallCounts& calls, base::Instant now);
  // Whether a noticeable share of calls gets no answer now.
  bool IsHigh() const;

 private:
  base::Instant last_;
  // Older calls count less.
  double answered_ = 0;
  double unanswered_ = 0;
};

}  // namespace sassafras::jobs

#endif  // JOBS_REPLY_LIMIT_H_
