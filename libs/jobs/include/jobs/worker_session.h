// The leader's dealings with one boot of a worker: its lease, the orders on
// their way, and what its looks show of its runs. Decides which calls to make;
// the calls themselves are made elsewhere.

#ifndef JOBS_WORKER_SESSION_H_
#define JOBS_WORKER_SESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/lease.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// --- calls to a worker, and their answers ---

struct StartOrder {
  TaskKey task;
  uint64_t run = 0;
  std::string payload;
  std::string checkpoint;  // empty: from the beginning
  std::string ticket;      // empty: the queue needs none
};
struct StopOrder {
  TaskKey task;
  uint64_t run = 0;
};
// Lets a task work, and disturb others, at a share of its speed.
struct PaceOrder {
  TaskKey task;
  uint64_t run = 0;
  uint32_t percent = 100;
};
using Order = std::variant<StartOrder, StopOrder, PaceOrder>;

struct OrderCall {
  uint64_t id = 0;  // within the session
  Order order;
  int64_t lease_until_ms = 0;  // on the worker's clock; 0: unchanged
};

enum class OrderResult {
  kNoAnswer,   // it may have been carried out, or may yet be
  kAccepted,   //
  kFenced,     // the worker has seen a later leader
  kOutdated,   // that run, or a later one, has ended or was stopped there
  kTooLate,    // the lease bound of the order has passed
  kNoRoom,     //
  kNoTicket,   // the ticket is missing or has run out
  kUnhealthy,  // nothing was done
  kOtherBoot,  // another boot has that address; nothing was done
  kMalformed,  // the worker doesn't understand the order; nothing was done
};
struct OrderReply {
  OrderResult result = OrderResult::kNoAnswer;
  std::optional<int64_t> clock_ms;  // of the worker
};

// Renews the lease, forgets ends that are recorded, and looks.
struct HoldCall {
  uint64_t end_cursor = 0;
  int64_t lease_until_ms = 0;  // 0: unchanged
  base::Duration wait{};       // the worker waits that long for an end
};

struct RunningRow {
  TaskKey task;
  uint64_t run = 0;
  std::string checkpoint;
  int32_t percent = 0;  // of the task's work
  // The last half second: the tail latency in ms of a task that serves users,
  // the thousandths of a core in use of any other.
  int64_t figure = 0;
};
struct EndedRow {
  uint64_t number = 0;  // counts the ends of this boot, from 1
  TaskKey task;
  uint64_t run = 0;
  RunEnd how = RunEnd::kStopped;
  std::string checkpoint;
};
struct HoldReply {
  bool is_answered = false;  // by the right boot, and readable
  bool is_refused = false;   // nothing listens at the worker's address
  int64_t clock_ms = 0;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
};

// Why runs were closed, and up to which end the worker's list was read.
struct HoldOutcome {
  std::vector<EndRun> ends;
  uint64_t end_cursor = 0;  // to be recorded together with `ends`
};

struct SessionOptions {
  base::Duration lease = std::chrono::milliseconds(4000);
  base::Duration max_lease = std::chrono::milliseconds(6000);
};

// Not thread-safe. Lives for one term of leadership and one boot.
class WorkerSession {
 public:
  // `record`: the worker as of the beginning of the term or of the boot. The
  // runs in it were ordered by earlier leaders.
  WorkerSession(const WorkerRecord& record,
                const SessionOptions& options,
                base::Instant now);

  const WorkerBoot& boot() const { return info_.boot; }
  const WorkerInfo& info() const { return info_; }

  void OnHeartbeat(const WorkerInfo& info, int64_t clock_ms, base::Instant now);

  void Start(StartOrder order);
  // Also of a run whose start was never sent; such a run ends at once.
  std::optional<EndRun> Stop(const TaskKey& task, uint64_t run);
  void Pace(const TaskKey& task, uint64_t run, uint32_t percent);

  // The calls to make now; each is answered by OnOrderReply.
  std::vector<OrderCall> TakeOrders(base::Instant now);
  std::optional<EndRun> OnOrderReply(uint64_t id,
                                     const OrderReply& reply,
                                     base::Instant now);

  // The hold to make now, one at a time; answered by OnHoldReply.
  std::optional<HoldCall> TakeHold(base::Instant now);
  HoldOutcome OnHoldReply(const HoldReply& reply, base::Instant now);
  // Ends up to `cursor` are recorded.
  void OnRecorded(uint64_t cursor);

  // Whether new work may go there: it was heard a moment ago under this term,
  // and is well.
  bool IsUsable(base::Instant now) const;
  // Whether all that it ran is surely over: its lease has run out, or its
  // process has ended.
  bool IsOver(base::Instant now) const;
  // Whether its process has ended, so that nobody needs to wait for the lease.
  bool HasEnded() const { return has_ended_; }
  // What the last look showed.
  const std::vector<RunningRow>& running() const { return running_; }
  // The newest checkpoint that a look showed; empty where there is none.
  std::string CheckpointOf(const TaskKey& task, uint64_t run) const;

 private:
  enum class Phase {
    kInherited,  // an earlier leader's; not yet seen
    kQueued,     // no start was sent
    kStarting,   // a start was sent, its outcome isn't known
    kStarted,
    kStopping,  // a stop is to be sent, or is on its way
    kStopped,   // the worker has taken the stop, or never starts the run
  };
  struct RunState {
    Phase phase = Phase::kInherited;
    StartOrder order;
    // A start got no answer, so it may be carried out at any later time.
    bool may_start_late = false;
    bool is_in_flight = false;
    base::Instant next_try;
    base::Instant settled_at;  // of kStopped
  };
  using RunKey = std::pair<TaskKey, uint64_t>;
  struct InFlight {
    RunKey run;
    bool is_stop = false;
    bool is_pace = false;
  };

  Order OrderOf(const RunKey& key, const RunState& state) const;
  std::optional<EndRun> OnStartReply(const RunKey& key,
                                     RunState& state,
                                     OrderResult result,
                                     base::Instant now);
  EndRun Close(const RunKey& key, RunEnd how);
  void Settle(RunState& state, base::Instant now);
  void OnFailedHold(bool is_refused, base::Instant now);
  std::optional<EndRun> Judge(const RunKey& key,
                              RunState& state,
                              bool is_running) const;
  bool IsSilent(base::Instant now) const;
  bool IsDoubtful(base::Instant now) const;

  WorkerInfo info_;
  SessionOptions options_;
  WorkerLease lease_;
  std::map<RunKey, RunState> runs_;
  std::vector<PaceOrder> paces_;  // to be sent
  bool may_have_due_ = false;     // some run may need an order
  std::map<uint64_t, InFlight> in_flight_;
  uint64_t last_call_ = 0;

  bool is_heard_ = false;  // a hold of this term was answered
  base::Instant last_heard_;
  bool has_failed_hold_ = false;  // the last one
  // The first of the holds that were refused since the worker was heard last.
  std::optional<base::Instant> refused_since_;
  bool has_ended_ = false;
  base::Instant unhealthy_until_;
  bool is_holding_ = false;
  base::Instant hold_sent_;
  base::Instant next_hold_;
  uint64_t recorded_cursor_ = 0;
  uint64_t reported_cursor_ = 0;  // at least recorded_cursor_
  std::vector<RunningRow> running_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_SESSION_H_
