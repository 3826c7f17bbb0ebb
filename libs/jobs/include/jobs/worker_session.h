// The leader's session with one worker process (boot): its lease, the orders in
// flight and the state of its runs as shown by hold replies. The session
// decides which calls to make; the caller makes them.

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
#include "jobs/reply_limit.h"
#include "jobs/types.h"
#include "wire/array_json.h"

namespace sassafras::jobs {

// --- calls to a worker and their replies ---

struct StartOrder {
  TaskKey task;
  uint64_t run = 0;
  std::string payload;
  std::string checkpoint;  // empty to start from the beginning
  std::string ticket;      // empty if the queue requires no advice
};
struct StopOrder {
  TaskKey task;
  uint64_t run = 0;
};
// Limits the speed of a task to `percent` of full speed, and with it the load
// that it puts on other tasks.
struct PaceOrder {
  TaskKey task;
  uint64_t run = 0;
  uint32_t percent = 100;
};
using Order = std::variant<StartOrder, StopOrder, PaceOrder>;

struct OrderCall {
  uint64_t id = 0;  // unique within the session
  Order order;
  // On the worker's clock; 0 leaves the lease unchanged.
  int64_t lease_until_ms = 0;
  // How long to wait for the answer.
  base::Duration reply_limit = ReplyLimit::kMax;
};

enum class OrderResult {
  kNoAnswer,  // the order may have been carried out or may be later
  kAccepted,
  kFenced,      // the worker has seen a newer leader
  kOutdated,    // that run or a later one has ended or was stopped there
  kTooLate,     // the lease bound sent with the order has passed
  kNoCapacity,  // the worker has too little free capacity
  kNoTicket,    // the ticket is missing or has expired
  kUnhealthy,   // the worker reports itself unhealthy; nothing was done
  kOtherBoot,   // another worker process has that address; nothing was done
  kMalformed,   // the worker couldn't parse the order; nothing was done
};
struct OrderReply {
  OrderResult result = OrderResult::kNoAnswer;
  // The worker's clock; nullopt if the answer may not be the worker's.
  std::optional<int64_t> clock_ms;
};

// Long poll: renews the lease, acknowledges recorded run ends and returns the
// runs of the worker.
struct HoldCall {
  uint64_t end_cursor = 0;
  int64_t lease_until_ms = 0;  // 0 leaves the lease unchanged
  // How long the worker waits for a run to end before it replies.
  base::Duration wait{};
  // How long to wait for the answer after `wait`.
  base::Duration reply_limit = ReplyLimit::kMax;
};

struct RunReport {
  TaskKey task;
  uint64_t run = 0;
  std::string checkpoint;
  int32_t percent = 0;  // share of the task's work that is done
  // Measured over the last half second: the tail latency in ms for a task that
  // serves users, else the processor use in thousandths of a core.
  int64_t latency_or_cpu = 0;
};
WIRE_DEFINE_ARRAY(RunReport, task, run, checkpoint, percent, latency_or_cpu)
struct EndReport {
  uint64_t number = 0;  // position among the run ends of this boot, from 1
  TaskKey task;
  uint64_t run = 0;
  RunOutcome outcome = RunOutcome::kStopped;
  std::string checkpoint;
};
WIRE_DEFINE_ARRAY(EndReport, number, task, run, outcome, checkpoint)
struct HoldReply {
  bool is_answered = false;  // a valid reply by the expected boot was received
  // Connection refused: nothing listens at the worker's address, or a host on
  // the way to it answers in its place.
  bool is_refused = false;
  int64_t clock_ms = 0;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
  uint64_t unread_ends = 0;     // rows of the list of ends that can't be read
  uint64_t unread_running = 0;  // the same of the list of running tasks
};

// Run ends concluded from a hold reply, and the position up to which the
// worker's list of ends has been read.
struct HoldOutcome {
  std::vector<EndRun> ends;
  uint64_t end_cursor = 0;  // must be recorded together with `ends`
};

struct SessionOptions {
  // Counted from the last time at which this process is known to have led.
  base::Duration lease = std::chrono::milliseconds(4000);
  // The longest lease that an earlier leader may have given to a boot that it
  // has settled with.
  base::Duration inherited_lease = std::chrono::milliseconds(6000);
  // The longest lease that a worker takes, whatever a call says. A call that
  // was meant for an earlier boot tells a time on that boot's clock, so it may
  // give that much.
  base::Duration max_lease = std::chrono::milliseconds(6000);
  // How long a worker may take to end its runs when their lease has expired.
  base::Duration stop_time{};
};

// Not thread-safe. Lives for one term of leadership and one boot of a worker.
class WorkerSession {
 public:
  // `record` is the worker's record at the start of the term or of the boot.
  // The runs in it were ordered by earlier leaders. `number` distinguishes the
  // session from others with the same boot.
  WorkerSession(const WorkerRecord& record,
                const SessionOptions& options,
                base::Instant now,
                uint64_t number = 0);

  uint64_t number() const { return number_; }
  const WorkerBoot& boot() const { return info_.boot; }
  const WorkerInfo& info() const { return info_; }

  // Whether a heartbeat that the worker sent later has been heard, so that this
  // one describes an earlier state. A worker's clock only rises.
  bool IsLateHeartbeat(int64_t clock_ms) const {
    return clock_ms < last_heartbeat_ms_;
  }
  void OnHeartbeat(const WorkerInfo& info, int64_t clock_ms, base::Instant now);
  // The worker sent a heartbeat that changed nothing, some time before `now`.
  void OnHeard(int64_t clock_ms, base::Instant now);

  // The worker has announced that its process is about to exit. It gets no new
  // work and no longer lease; its runs are over when they are reported so, or
  // when the lease has expired.
  void OnLeave() { is_leaving_ = true; }
  bool IsLeaving() const { return is_leaving_; }

  // From now on the worker gets no longer lease.
  void WithholdLease() { withholds_lease_ = true; }

  // Whether many calls get no answer now, so that long polls are kept short: an
  // end that happens during a lost one is noticed by the next.
  void OnCallLoss(bool is_high) { has_call_loss_ = is_high; }
  // Returns the calls whose outcome was noted since the last call.
  CallCounts TakeCallCounts() { return std::exchange(call_counts_, {}); }

  // This process is known to have led at `at`, and maybe not later; nullopt if
  // that isn't known yet. Until the first call, it led when the session began.
  void OnLeadership(std::optional<base::Instant> at) { leads_at_ = at; }

  void Start(StartOrder order);
  // Stops a run. If its start was never sent, the run ends at once and its end
  // is returned.
  std::optional<EndRun> Stop(const TaskKey& task, uint64_t run);
  // Whether the worker hasn't confirmed the start of the run yet, so that the
  // order may be sent, or sent again.
  bool IsStartPending(const TaskKey& task, uint64_t run) const;
  void Pace(const TaskKey& task, uint64_t run, uint32_t percent);

  // Returns the calls to make now. The reply to each goes to OnOrderReply.
  std::vector<OrderCall> TakeOrders(base::Instant now);
  std::optional<EndRun> OnOrderReply(uint64_t id,
                                     const OrderReply& reply,
                                     base::Instant now);

  // Returns the hold to send now, if any; at most one is in flight. Its reply
  // goes to OnHoldReply.
  std::optional<HoldCall> TakeHold(base::Instant now);
  HoldOutcome OnHoldReply(const HoldReply& reply, base::Instant now);
  // Run ends up to `cursor` have been recorded.
  void OnRecorded(uint64_t cursor);
  // Returns the tasks of which the worker has shown since the last call that it
  // began a run, which may have ended since.
  std::vector<TaskKey> TakeBegunTasks();

  // Whether the worker can get new work: it has replied recently to this
  // leader, is healthy and isn't draining.
  bool IsUsable(base::Instant now) const;
  // Whether the first look at the worker is still to come, and nothing is known
  // against it. A look may be lost once.
  bool AwaitsFirstReply() const {
    return !has_replied_ && failed_holds_ < 2 && !refused_since_ &&
           !info_.is_draining && !is_leaving_;
  }
  // Whether none of its runs can still be running, because it is silent or has
  // said that it leaves, and its lease has expired. Refused connections don't
  // prove that earlier.
  bool IsLost(base::Instant now) const;
  // Returns true once, when the longest lease that a call for an earlier boot
  // may have given has ended; never if the record says so already.
  bool HasJustSettled(base::Instant now);
  // Whether the last reply shows that nothing runs there, and that all runs
  // that did have been reported as ended. Calls of earlier sessions, which the
  // worker rejects since its first reply, start nothing any more.
  bool RunsNothing() const { return runs_nothing_; }
  LeaseReading ReadLease(base::Instant now) const { return lease_.Read(now); }
  // Whether it has refused connections since its last sign of life. Its process
  // has probably exited, but may as well be cut off.
  bool RefusesConnections() const { return refused_since_.has_value(); }
  // Runs listed in the last hold reply.
  const std::vector<RunReport>& running() const { return running_; }
  // When the worker was last known to live: when it stopped accepting
  // connections, or else its last reply or heartbeat.
  base::Instant LastSignOfLife() const;
  // How long the run had been on the worker at its last sign of life; 0 if its
  // start was sent later or not at all. Runs of earlier leaders count from the
  // beginning of the session.
  base::Duration AgeAtLastSign(const TaskKey& task, uint64_t run) const;
  // Returns the newest checkpoint in the last hold reply, or an empty string if
  // there is none.
  std::string CheckpointOf(const TaskKey& task, uint64_t run) const;

 private:
  enum class Phase {
    kInherited,  // ordered by an earlier leader; not seen in a hold reply yet
    kQueued,     // the start has not been sent
    kStarting,   // a start was sent; its outcome is unknown
    kStarted,
    kStopping,  // a stop is due or in flight
    kStopped,   // the worker accepted the stop, or will never start the run
  };
  struct RunState {
    Phase phase = Phase::kInherited;
    StartOrder order;
    // A start got no reply that is surely the worker's, so the worker may have
    // carried it out, or may still do so.
    bool may_start_late = false;
    // The worker has accepted the start or listed the run. A run that it lists
    // no more, and not as ended either, may still be being stopped.
    bool has_run = false;
    // When the worker accepted the start; nullopt if it may have begun the run
    // earlier or with part of the work done.
    std::optional<base::Instant> begun_at;
    bool is_in_flight = false;
    base::Instant next_order_at;
    std::optional<base::Instant> sent_at;  // when the start was first sent
    base::Instant stopped_at;              // when the run entered kStopped
  };
  using RunKey = std::pair<TaskKey, uint64_t>;
  struct InFlight {
    RunKey run;
    bool is_stop = false;
    bool is_pace = false;
    base::Instant sent_at;
    base::Duration reply_limit{};
  };

  Order NextOrder(const RunKey& key, const RunState& state) const;
  // Whether no more orders may be sent now.
  bool IsBusy(base::Instant now) const;
  void NoteAnswer();
  // Whether the worker has answered an order since it owed the answer to the
  // only hold that has failed.
  bool HasAnsweredSinceFailedHold() const;
  std::optional<EndRun> OnStartReply(const RunKey& key,
                                     RunState& state,
                                     OrderResult result,
                                     base::Instant now);
  EndRun CloseRun(const RunKey& key, RunOutcome outcome);
  void MarkStopped(RunState& state, base::Instant now);
  void MarkBegun(const RunKey& key, RunState& state);
  void OnFailedHold(bool is_refused, base::Instant now);
  base::Duration NextHoldWait() const;
  // `is_prompt` means that the hold before was answered, so that the ends have
  // just happened.
  void TakeEnds(const HoldReply& reply,
                bool is_prompt,
                base::Instant now,
                HoldOutcome& outcome);
  void ReconcileRuns(const HoldReply& reply, HoldOutcome& outcome);
  std::optional<EndRun> ReconcileRun(const RunKey& key,
                                     RunState& state,
                                     bool is_running);
  bool IsSilent(base::Instant now) const;
  bool MayBeLost(base::Instant now) const;
  // Returns the lease bound to send now; 0 leaves the lease unchanged.
  int64_t ExtendLease(base::Instant now);

  uint64_t number_ = 0;
  WorkerInfo info_;
  SessionOptions options_;
  WorkerLease lease_;
  bool is_settled_ = false;  // see WorkerRecord
  std::optional<base::Instant> leads_at_;
  std::map<RunKey, RunState> runs_;
  std::vector<TaskKey> begun_tasks_;  // since the last TakeBegunTasks()
  std::vector<PaceOrder> unsent_paces_;
  bool may_have_due_orders_ = false;  // false if no run needs an order
  std::map<uint64_t, InFlight> in_flight_;
  uint64_t last_call_ = 0;

  bool has_replied_ = false;  // a hold of this term got a reply
  base::Instant last_reply_;
  base::Instant last_heard_;        // last reply or heartbeat
  int64_t last_heartbeat_ms_ = 0;   // on the worker's clock
  uint32_t failed_holds_ = 0;       // since the last valid reply to one
  base::Instant failed_hold_due_;   // when the last of them was due
  base::Instant last_order_reply_;  // of the worker itself
  // When the first refused hold since the last sign of life was refused;
  // nullopt if none was refused.
  std::optional<base::Instant> refused_since_;
  bool is_leaving_ = false;
  bool withholds_lease_ = false;
  base::Instant unhealthy_until_;
  bool has_open_hold_ = false;
  base::Instant hold_sent_;
  base::Duration hold_wait_{};  // of the last hold, as the limit below
  base::Duration hold_reply_limit_{};
  base::Instant next_hold_;
  ReplyLimit reply_limit_;
  CallCounts call_counts_;
  uint32_t unanswered_calls_ = 0;  // since the last answer
  bool has_call_loss_ = false;
  uint64_t recorded_cursor_ = 0;
  uint64_t reported_cursor_ = 0;  // last end read; at least recorded_cursor_
  std::vector<RunReport> running_;
  bool runs_nothing_ = false;  // as of the last reply
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_SESSION_H_
