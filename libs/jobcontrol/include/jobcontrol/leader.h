// One term of leadership over the job queues: takes submissions and
// heartbeats, plans, commits each start before it is ordered, keeps the
// workers' leases, and records their ends.

#ifndef JOBCONTROL_LEADER_H_
#define JOBCONTROL_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "consensus/replica.h"
#include "jobcontrol/leader_metrics.h"
#include "jobcontrol/worker_link.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/progress.h"
#include "jobs/scheduler.h"
#include "jobs/worker_session.h"

namespace sassafras::jobcontrol {

// What became of a change that was to be recorded.
enum class Recorded {
  kYes,
  kNo,      // it never will be
  kUnsure,  // another leader may have recorded it, or may yet
};
using RecordedDone = std::function<void(Recorded)>;

// The system around the leader. Called on the control thread.
class LeaderHost {
 public:
  virtual ~LeaderHost() = default;
  virtual const jobs::JobTable& table() const = 0;
  // Commits a batch; the table has applied it when `done` says kYes.
  virtual void Record(std::shared_ptr<const jobs::Batch> batch,
                      RecordedDone done) = 0;
  virtual WorkerLink& workers() = 0;
  // Entries that can ask the placement service now, this process among them.
  virtual std::vector<wire::EntryId> Advisers(base::Instant now) = 0;
  virtual void Ask(const wire::EntryId& host,
                   const jobs::AdviceQuery& question,
                   base::Duration limit,
                   AdviceDone done) = 0;
  // Runs `then` after the work that is ready now.
  virtual void Defer(std::function<void()> then) = 0;
  virtual base::Instant Now() const = 0;
  virtual base::WallMs WallNow() const = 0;
};

struct LeaderOptions {
  uint64_t term = 0;
  jobs::SessionOptions session;
};

// Not thread-safe; used on the control thread. Callbacks of calls that are on
// their way when the leader ends do nothing.
class Leader : public std::enable_shared_from_this<Leader> {
 public:
  static std::shared_ptr<Leader> Create(LeaderHost& host,
                                        const LeaderOptions& options,
                                        const LeaderMetrics& metrics);

  // Records the changes with the next batch.
  void Submit(jobs::AddJob job, RecordedDone done);
  void Cancel(const wire::JobId& job, RecordedDone done);
  void PutManifest(jobs::Manifest manifest, RecordedDone done);
  // Answered once this leader knows what the worker says, which is recorded
  // where it is new.
  void OnHeartbeat(jobs::WorkerInfo worker,
                   int64_t clock_ms,
                   RecordedDone done);
  // The worker's process ends; nothing runs there any more.
  void OnLeave(const jobs::WorkerBoot& worker, RecordedDone done);

  // The table has applied a batch of this or an earlier leader.
  void OnApplied(const jobs::Changes& changes);
  // To be called every few tens of milliseconds.
  void Tick();

 private:
  Leader(LeaderHost& host,
         const LeaderOptions& options,
         const LeaderMetrics& metrics);

  void Begin();
  void OpenSession(const jobs::WorkerRecord& record);
  void SyncSessions();
  void Flush();
  void AddPlan();
  std::vector<const jobs::WorkerRecord*> UsableWorkers() const;
  void BeginOccurrences();
  void EndLostWorkers();
  void AskAdvice(const std::vector<jobs::AdviceRequest>& wishes);
  void OnAdvice(const jobs::AssignedQuery& asking,
                const std::optional<std::vector<jobs::Permit>>& permits,
                base::Instant asked);
  void OnRecorded(Recorded recorded,
                  const jobs::Batch& batch,
                  std::vector<RecordedDone> waiters);
  void Dispatch(const jobs::StartRun& start);
  void StopRunsOf(const wire::JobId& job);
  size_t Serve(jobs::WorkerSession& session);
  void BeginRound();
  void ContinueRound();
  void OnOrderReply(const jobs::WorkerBoot& boot,
                    uint64_t call,
                    const jobs::OrderReply& reply);
  void OnHoldReply(const jobs::WorkerBoot& boot, const jobs::HoldReply& reply);
  void AddEnd(jobs::EndRun end);
  void StopRestOfGang(const jobs::EndRun& end);
  jobs::WorkerSession* FindSession(const jobs::WorkerBoot& boot);
  void PaceFillers(jobs::WorkerSession& session);
  void StopLaggards(jobs::WorkerSession& session);
  const jobs::StepSpec* SpecOf(const jobs::TaskKey& task) const;

  LeaderHost& host_;
  const LeaderOptions options_;
  const LeaderMetrics& metrics_;
  jobs::Scheduler scheduler_;
  jobs::AdviceTracker advice_;
  jobs::ProgressMonitor progress_;
  std::map<wire::WorkerId, jobs::WorkerSession> sessions_;
  // Of open runs of fillers that were held back, in percent.
  std::map<std::pair<jobs::TaskKey, uint64_t>, uint32_t> paces_;

  jobs::Batch batch_;                   // to be recorded next
  std::vector<RecordedDone> waiters_;   // for `batch_`
  bool is_recording_ = false;           // one batch at a time
  bool needs_plan_ = true;              // something changed since the last
  std::set<jobs::WorkerBoot> leaving_;  // their removal is in a batch
  bool is_in_round_ = false;            // all sessions are being served
  wire::WorkerId last_served_;          // of the round; empty: none yet
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_LEADER_H_
