// The rules by which a worker runs attempts: lease, attempt numbers, orders.
// No I/O: time goes in, notes of starts and stops come out.

#ifndef SAMPLES_SRC_ATTEMPT_TABLE_H_
#define SAMPLES_SRC_ATTEMPT_TABLE_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/worker.h"

namespace sassafras::samples {

// How a fake task behaves, read from its payload, a JSON object:
// {"run_ms": 50, "exit": "done"|"failed", "usage_percent": 100}. Without
// run_ms it runs until it is stopped.
struct TaskScript {
  std::optional<base::Duration> run_time;
  wire::AttemptState end = wire::AttemptState::kDone;
  int64_t usage_percent = 100;  // of the limit

  static TaskScript Parse(std::string_view payload);
};

// Something that happened to an attempt, for the ledger.
struct AttemptNote {
  enum class Kind { kStart, kEnd, kRefuse, kOverCapacity };

  Kind kind = Kind::kStart;
  wire::TaskId task;
  wire::AttemptId attempt;
  base::Instant at;    // when it took effect
  std::string reason;  // "done", "failed", "ordered", "unlisted", "lease"...

  // "start job/0 attempt=7 at=1234567".
  std::string ToString() const;
};

// All attempts of one worker in one run of it. Invariants: nothing runs while
// no lease is held, and of one task at most one attempt runs, whose number
// never falls.
class AttemptTable {
 public:
  explicit AttemptTable(const wire::Resources& capacity)
      : capacity_(capacity) {}

  // The answer to the heartbeat that was sent at `sent`. Starts and stops
  // attempts as it says.
  std::vector<AttemptNote> Apply(const wire::WorkerAnswer& answer,
                                 base::Instant sent,
                                 base::Instant now);

  // Ends what has run its time, and everything once the lease has run out.
  std::vector<AttemptNote> Advance(base::Instant now);

  // Stops everything, for example at the program's end.
  std::vector<AttemptNote> StopAll(base::Instant now, const std::string& why);

  // What the next heartbeat reports.
  std::vector<wire::AttemptReport> Reports(base::Instant now) const;

  // When Advance has something to do next; nothing: never.
  std::optional<base::Instant> NextEvent() const;

  bool HasLease(base::Instant now) const { return now < lease_until_; }
  size_t Running() const;
  // Once true, the run is over: the worker goes on under a new incarnation.
  bool IsLeaseLost() const { return is_lease_lost_; }

 private:
  struct Attempt {
    wire::AttemptId number;
    wire::AttemptState state = wire::AttemptState::kRunning;
    bool has_started = true;
    bool is_throttled = false;  // uses no more than its limit
    std::string reason;
    wire::Resources limit;
    TaskScript script;
    base::Instant started;
    base::Instant ended;  // where it doesn't run any more
  };

  void ApplyCommand(const wire::AttemptCommand& command,
                    base::Instant now,
                    std::vector<AttemptNote>& notes);
  void Start(const wire::AttemptCommand& command,
             base::Instant now,
             std::vector<AttemptNote>& notes);
  void End(const wire::TaskId& task,
           Attempt& attempt,
           wire::AttemptState state,
           base::Instant at,
           const std::string& why,
           std::vector<AttemptNote>& notes);
  void EndUnlisted(std::span<const wire::AttemptCommand> commands,
                   base::Instant now,
                   std::vector<AttemptNote>& notes);
  void CheckCapacity(const wire::AttemptCommand& command,
                     base::Instant now,
                     std::vector<AttemptNote>& notes) const;

  wire::Resources capacity_;
  std::map<wire::TaskId, Attempt> attempts_;          // reported until unlisted
  std::map<wire::TaskId, wire::AttemptId> highest_;   // ever ordered
  base::Instant lease_until_ = base::Instant::min();  // exclusive
  bool is_lease_lost_ = false;
};

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_ATTEMPT_TABLE_H_
