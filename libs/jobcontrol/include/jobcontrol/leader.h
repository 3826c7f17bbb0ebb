// The leader of the job queues for one term: accepts submissions and
// heartbeats, plans task starts, commits each start before sending it to the
// worker, renews worker leases and records the ends of runs.

#ifndef JOBCONTROL_LEADER_H_
#define JOBCONTROL_LEADER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "consensus/replica.h"
#include "jobcontrol/leader_metrics.h"
#include "jobcontrol/table_guard.h"
#include "jobcontrol/worker_link.h"
#include "jobs/admission_control.h"
#include "jobs/advice.h"
#include "jobs/crash_history.h"
#include "jobs/job_table.h"
#include "jobs/progress.h"
#include "jobs/replica_history.h"
#include "jobs/reply_limit.h"
#include "jobs/scheduler.h"
#include "jobs/submission_rates.h"
#include "jobs/worker_session.h"

namespace sassafras::jobcontrol {

// The result of committing a change to the replicated table.
enum class RecordResult {
  kRecorded,
  kNotRecorded,  // the change will never be recorded
  kUnknown,      // another leader may have recorded it or may yet do so
  kTaken,        // the job's id belongs to a job of another customer
};
using RecordDone = std::function<void(RecordResult)>;

// A call that is refused before anything is proposed, because it can't be
// served now.
struct Refusal {
  std::string reason;            // names the decision line that tells more
  base::Duration retry_after{};  // when the call may be made again; above 0
};

// What the leader needs from its process. Called on the control thread.
class LeaderContext {
 public:
  virtual ~LeaderContext() = default;
  virtual const jobs::JobTable& table() const = 0;
  // What this replica has observed, also before it led. Must have seen a change
  // before the leader does.
  virtual const jobs::ReplicaHistory& history() const = 0;
  // Commits a batch. When `done` receives kRecorded, the table has applied it.
  virtual void Record(std::shared_ptr<const jobs::Batch> batch,
                      RecordDone done) = 0;
  virtual WorkerLink& workers() = 0;
  // Returns the hosts that can query the placement service now, including this
  // process.
  virtual std::vector<wire::EntryId> LiveAdvisers(base::Instant now) = 0;
  virtual void QueryAdvice(const wire::EntryId& host,
                           const jobs::AdviceQuery& query,
                           base::Duration timeout,
                           AdviceDone done) = 0;
  // Calls `done` with true once this replica is known to have led after the
  // call, with false if that can't be shown.
  virtual void Barrier(std::function<void(bool passed)> done) = 0;
  // Runs `then` after the tasks that are already queued on the control thread.
  virtual void Defer(std::function<void()> then) = 0;
  // Returns the latest time at which no later leader had been elected, or
  // nullopt if that isn't known yet.
  virtual std::optional<base::Instant> LeadershipConfirmedAt() const = 0;
  // Whether all replicas apply starts of copies.
  virtual bool MayStartCopies() const = 0;
  virtual base::Instant Now() const = 0;
  virtual base::WallMs WallNow() const = 0;
};

struct LeaderOptions {
  uint64_t term = 0;
  jobs::SessionOptions session;
  TableLimits table;
};

// Not thread-safe; must be used on the control thread. Replies that arrive
// after the leader was destroyed are ignored.
class Leader : public std::enable_shared_from_this<Leader> {
 public:
  static std::shared_ptr<Leader> Create(LeaderContext& context,
                                        const LeaderOptions& options,
                                        const LeaderMetrics& metrics);
  // Changes that were not proposed yet get kNotRecorded.
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Submit(), Cancel() and PutManifest() add a change to the next batch; `done`
  // receives its result. Submit() decides whether the job is in excess. If it
  // returns a refusal, the job isn't added and `done` isn't called; the refusal
  // is true only if this leader is shown to have led after the call, as a later
  // one may have accepted the job. Where the manifest names customers, an id
  // belongs to the customer whose job was the first to be recorded under it;
  // others get kTaken. A manifest
  // that isn't newer than the one in force changes nothing and isn't proposed.
  std::optional<Refusal> Submit(jobs::AddJob job, RecordDone done);
  void Cancel(const wire::JobId& job, RecordDone done);
  void PutManifest(jobs::Manifest manifest, RecordDone done);
  // Updates the worker's session and records its description if it changed.
  // Without a change `done` runs at once, otherwise after the recording.
  void OnHeartbeat(jobs::WorkerInfo worker, int64_t clock_ms, RecordDone done);
  // Another control host has answered a heartbeat that changed nothing.
  void OnHeard(const jobs::WorkerBoot& worker, int64_t clock_ms);
  // The worker's process is about to exit, and still runs its tasks. They are
  // stopped, and the worker is removed when they are over. `done` runs at once.
  void OnLeave(const jobs::WorkerBoot& worker, const RecordDone& done);

  // Must be called after the table applied a batch of this or an earlier
  // leader.
  void OnApplied(const jobs::Changes& changes);
  // Runs periodic work. Must be called every few tens of milliseconds.
  void Tick();

 private:
  Leader(LeaderContext& context,
         const LeaderOptions& options,
         const LeaderMetrics& metrics);

  // A boot that was lost may return, and gets another session. A reply belongs
  // to the session that made the call.
  struct SessionId {
    jobs::WorkerBoot boot;
    uint64_t number = 0;  // unique within the term
  };

  // Returns why a job can't be accepted now. Notes how long it will wait.
  std::optional<Refusal> RefusalOf(const jobs::AddJob& job);
  std::optional<Refusal> RoomRefusalOf(const jobs::AddJob& job);
  std::optional<Refusal> CapRefusalOf(const jobs::AddJob& job) const;
  std::optional<Refusal> LatenessRefusalOf(const jobs::AddJob& job);
  // Whether the job is accepted but not recorded yet.
  bool IsBeingRecorded(const wire::JobId& job) const;
  // Moves submissions to the next batch, as far as it has room.
  void AddSubmissions();
  void NoteWaits(const jobs::Changes& changes);
  // Sets the gauges of queues and of the table once a second.
  void ReportQueues();
  // Returns a callback that gets kTaken if another submission was recorded
  // under the job's id first.
  RecordDone CheckOwner(const jobs::AddJob& job, RecordDone done) const;
  static void LogJob(const jobs::JobRecord& job);
  void LogJobEnd(const wire::JobId& job) const;
  // Sets the gauges of customers once a second.
  void ReportCustomers();

  void Begin();
  // Tells the scheduler of an active job.
  void AddJob(const jobs::JobRecord& job);
  void OpenSession(const jobs::WorkerRecord& record);
  // Adds the description of a worker to the next batch.
  void RecordWorker(jobs::WorkerInfo worker);
  void SyncSessions();
  void Flush();
  enum class PlanScope { kAllSteps, kUrgentSteps };
  void PlanStarts();
  // Plans `urgent_steps_` while a plan of all steps isn't due yet.
  void PlanUrgentSteps();
  void UsePlan(jobs::Plan plan, PlanScope scope, base::Instant begin);
  jobs::PlanSources MakePlanSources() const;
  void AddUrgentSteps(const jobs::JobRecord& job, uint64_t occurrence);
  void OnEndRecorded(const jobs::EndRun& end);
  void LogWaitingSteps(std::span<const jobs::WaitingReason> waiting);
  std::vector<const jobs::WorkerRecord*> UsableWorkers() const;
  std::vector<const jobs::WorkerRecord*> AwaitedWorkers() const;
  // Returns the records, sorted by worker id, of the sessions that fulfil the
  // condition and whose workers don't change with the next batch.
  template <typename Condition>
  std::vector<const jobs::WorkerRecord*> RecordsIf(Condition condition) const;
  bool IsAboutToChange(const jobs::WorkerBoot& worker) const;
  void AddDueOccurrences();
  void ForgetEndedJobs();
  void RemoveLostWorkers();
  void AddSettledWorkers();
  // Why none of a worker's runs can still be running.
  enum class LossProof {
    kLeaseExpired,
    kLaterBoot,  // a later boot has its id or its address
  };
  // Why a run is over although its worker is not lost.
  enum class EndProof {
    kReported,  // the worker lists its end
    kUnlisted,  // the worker lists it neither as running nor as ended
    kRejected,  // the worker has rejected its start
    kUnsent,    // its start was never sent
  };
  // Proposes that all runs of the worker have ended.
  void DeclareLost(const jobs::WorkerSession& session, LossProof proof);
  void DeclareReplacedWorkersLost(const jobs::WorkerInfo& successor,
                                  int64_t clock_ms);

  // The next boot of a worker is asked what it runs before the runs of the boot
  // before count as over: calls that were meant for that one reach the next, as
  // they name the worker's id only, and may start runs there.
  void AwaitNextBoot(const jobs::WorkerInfo& worker, int64_t clock_ms);
  void CallNextBoots();
  void OnNextBootReply(jobs::WorkerSession& next,
                       std::span<const jobs::EndRun> ends);
  // Proposes the next boot in place of the boot before.
  void AdmitNextBoot(jobs::WorkerInfo next);
  void GiveUpSilentNextBoots();
  // Forgets those whose boot before is gone, or that are recorded by now.
  void DropSupersededNextBoots();
  // Whether a later boot than that of the session is being asked what it runs.
  bool IsReplaced(const jobs::WorkerSession& session) const;
  jobs::WorkerSession* FindNextBoot(const SessionId& id);

  std::vector<jobs::CrashRole> CrashRolesOf(const jobs::WorkerRecord& record,
                                            const jobs::WorkerSession& session,
                                            bool has_crashed) const;
  // Remembers when the worker went down and which runs may be the cause.
  void NoteCrash(const jobs::WorkerSession& session);
  std::vector<jobs::CrashedRun> CrashedRunsOf(
      const jobs::WorkerRecord& record,
      const jobs::WorkerSession& session) const;
  void WatchSuspect(const jobs::StartRun& start);
  void ProveSuspects();
  void LogCrashCause(const jobs::CrashCause& cause) const;
  void RequestAdvice(const std::vector<jobs::AdviceRequest>& requests);
  void OnAdvice(const jobs::AssignedQuery& assigned,
                const std::optional<std::vector<jobs::Permit>>& permits,
                base::Instant sent_at);
  // Notes the jobs of which the worker has shown that it began a task.
  void NoteBegunJobs(jobs::WorkerSession& session);
  void AddBegunJobs(base::Instant now);
  void LogBatch(const jobs::Batch& batch,
                RecordResult result,
                base::Duration took);
  void OnRecorded(RecordResult result,
                  const jobs::Batch& batch,
                  std::vector<RecordDone> callbacks);
  void Dispatch(const jobs::StartRun& start);
  void StopRunsOf(const wire::JobId& job);
  void StopSurplusRun(const jobs::StartRun& run);
  // Returns whether the run has ended at once, as its start was never sent.
  bool StopRun(jobs::WorkerSession& session,
               const jobs::TaskKey& task,
               uint64_t run);
  void StopRunsOn(jobs::WorkerSession& session,
                  const jobs::WorkerRecord& record);
  // Withdraws starts that no longer fit on the worker, or all if it drains.
  void StopUnfittingStarts(const jobs::WorkerBoot& worker);
  bool IsWanted(const jobs::TaskKey& task) const;
  size_t SendPendingCalls(jobs::WorkerSession& session);
  void NoteCallLoss(jobs::WorkerSession& session);
  void StartCallRound();
  void ContinueCallRound();
  void OnOrderReply(const SessionId& id,
                    uint64_t call,
                    const jobs::OrderReply& reply);
  void OnHoldReply(const SessionId& id, const jobs::HoldReply& reply);
  void AddLateReports(const jobs::WorkerBoot& boot,
                      const jobs::HoldReply& reply);
  static std::string_view ProofName(EndProof proof);
  static std::string_view ProofName(LossProof proof);
  void AddEnd(jobs::EndRun end, EndProof proof);
  // Adds an end that the lists of a worker tell or prove.
  void AddEndFromLists(jobs::EndRun end);
  // Logs that a run is taken for over which its worker hasn't reported as
  // ended.
  void LogGivenUp(const jobs::EndRun& end, std::string_view proof);
  void StopOtherGangMembers(const jobs::EndRun& end);
  jobs::WorkerSession* FindSession(const jobs::WorkerBoot& boot);
  jobs::WorkerSession* FindSession(const SessionId& id);
  void PaceFillers(jobs::WorkerSession& session);
  void StopStragglers(jobs::WorkerSession& session);
  // Whether the straggler goes on, because it has a copy or may get one.
  bool StaysBesideCopy(const jobs::Straggler& straggler) const;
  const jobs::StepSpec* FindStepSpec(const jobs::TaskKey& task) const;

  LeaderContext& context_;
  const LeaderOptions options_;
  const LeaderMetrics& metrics_;
  jobs::Scheduler scheduler_;
  jobs::AdviceTracker advice_;
  jobs::ProgressMonitor progress_;
  jobs::SubmissionRates submission_rates_;
  jobs::AdmissionControl admission_;
  TableGuard table_guard_;
  base::Instant next_customer_report_;
  base::Instant next_queue_report_;
  std::map<wire::WorkerId, jobs::WorkerSession> sessions_;
  // Boots that aren't recorded yet, as an earlier boot with the same id has
  // open runs in the table.
  std::map<wire::WorkerId, jobs::WorkerSession> next_boots_;
  uint64_t last_session_ = 0;  // number of the session opened last
  jobs::CallLoss call_loss_;   // of the calls to all workers
  // The last pace sent to open filler runs, in percent of full speed; runs
  // without an entry are at full pace.
  std::map<std::pair<jobs::TaskKey, uint64_t>, uint32_t> filler_paces_;

  struct Submission {
    jobs::AddJob job;
    RecordDone done;
  };
  // Accepted, and not in a batch yet.
  std::deque<Submission> submissions_;
  jobs::Batch batch_;                        // the next batch to record
  std::vector<RecordDone> batch_callbacks_;  // called once `batch_` is recorded
  // The batch in flight, at most one; null if there is none.
  std::shared_ptr<const jobs::Batch> recording_;
  // Jobs that are not recorded as begun yet, and when the first was noted.
  std::set<wire::JobId> begun_jobs_;
  base::Instant begun_jobs_since_;
  bool needs_plan_ = true;   // the state changed since the last plan
  base::Instant next_plan_;  // of all steps: not earlier than this
  // Steps that have become ready, or for which an answer has come, since the
  // last plan.
  std::set<jobs::StepKey> urgent_steps_;
  bool has_freed_room_ = false;  // since the last plan
  base::Instant next_waiting_log_;
  // When the oldest answer arrived that no plan has used yet.
  std::optional<base::Instant> first_unused_answer_;
  std::set<jobs::WorkerBoot> workers_being_removed_;  // removal is in a batch
  // Open runs of tasks under which workers have crashed, and their workers.
  std::map<std::pair<jobs::TaskKey, uint64_t>, jobs::WorkerBoot> unproven_runs_;
  jobs::CrashHistory crash_history_;  // of this term
  // Whether a pass over all sessions is in progress, and the last worker that
  // it has called; empty before the first.
  bool is_call_round_active_ = false;
  wire::WorkerId last_called_worker_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_LEADER_H_
