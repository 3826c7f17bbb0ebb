// The implementation class of Dispatcher. Its members are defined in several
// files: dispatcher.cc (events and timers), session_renewal.cc (session
// renewals), queueing.cc (queues, refusals, responses), forwarding.cc (other
// entries), upstream_tries.cc (upstreams and retries), admission.cc (admissions
// and outcomes), outcome_lookup.cc (reads of the admission log, queries to
// other entries).

#ifndef ROUTING_SRC_DISPATCHER_IMPL_H_
#define ROUTING_SRC_DISPATCHER_IMPL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "fair_queue.h"
#include "request.h"
#include "request_table.h"
#include "retry_budget.h"
#include "routing/dispatcher.h"
#include "upstream_table.h"
#include "wait_estimate.h"

namespace sassafras::routing {

class Dispatcher::Impl {
 public:
  explicit Impl(const DispatcherOptions& options);

  Effects Step(base::Instant now, const Event& event);
  base::Instant NextDeadline() const;
  wire::EntryRenewal BuildRenewal(base::Instant now);
  bool IsIdle() const;
  base::Instant SessionUntil() const { return upstreams_.session_until(); }
  DispatcherCounters Counters() const;

 private:
  struct Service {
    ServicePolicy policy;
    FairQueue queue;
    RetryBudget budget;
    WaitEstimate estimate;
    base::Instant next_probe = base::Instant::min();
    base::Duration probe_pause{};
  };

  // Event handlers (in the file of their subject) and timers (dispatcher.cc).
  void On(const RequestArrived& event);
  void On(const OutcomeQueried& event);
  void On(const AdmitResolved& event);
  void On(const CloseResolved& event);
  void On(const UpstreamFinished& event);
  void On(const UpstreamFailed& event);
  void On(const RelayResolved& event);
  void On(const RoutesUpdated& event);
  void On(const CallerDisconnected& event);
  void On(const PolicyUpdated& event);
  void On(const IncarnationReplaced& event);
  void On(const Drain& event);
  void On(const Tick& event);
  void OnKeyedArrival(Request& request);
  void Watch(Request& request, Request& watched);
  void StopWatching(const Request& request);
  void RunDueTimers();
  void OnTimer(Request& request);
  void OnDeadline(Request& request);
  void UpdateTimer(Request& request);
  Service& ServiceOf(const wire::ServiceId& service);
  void AddLoads(base::Instant now,
                const Service& service,
                wire::ServiceDemand& demand) const;

  // queueing.cc
  void RouteRequest(Request& request);
  void RouteWithoutGrant(Request& request);
  void RefuseWithoutGrant(Request& request);
  bool RefuseIfLate(Request& request);
  void Enqueue(Request& request, bool is_front);
  void RemoveFromQueue(Request& request);
  void ProcessQueues();
  void ProcessQueue(const wire::ServiceId& service);
  bool DispatchNext(Service& service, std::vector<RequestId>& blocked);
  void RefuseLateWaiting();
  void RefuseAllWaiting(const std::string& code, const std::string& message);
  void Refuse(Request& request,
              uint32_t status,
              const std::string& code,
              const std::string& message,
              base::Duration retry_after);
  void Reply(Request& request, const Answer& answer);
  void Finish(Request& request);
  void EmitResponse(const Request& request, const Answer& answer);
  void LogDecision(const Request& request,
                   std::string what,
                   std::string choice,
                   uint32_t candidates,
                   std::string why);

  // forwarding.cc
  wire::IdleEntry* EntryWithMostIdle(const wire::ServiceId& service,
                                     uint32_t& candidates);
  bool TryForward(Request& request);
  void ReturnIdleSlot(const Request& request);
  void OnForwardRefused(Request& request);
  wire::IdleEntry* RandomOtherEntry(const wire::ServiceId& service);
  bool MayProbe(const Request& request) const;
  void Probe(Service& service);
  bool ForwardOne(Service& service, std::vector<RequestId>& blocked);
  void Forward(Request& request,
               const wire::IdleEntry& to,
               uint32_t candidates,
               const std::string& why);

  // upstream_tries.cc
  void StartTry(Request& request, Upstream& upstream, uint32_t candidates);
  void SendTry(Request& request);
  base::Instant TryDeadline(const Request& request);
  void ReleaseSlot(Request& request);
  void SettleCost(Request& request);
  void OnTryFailed(Request& request);
  bool ScheduleRetry(Request& request);
  void LogEjection(const Request& request, bool is_ejected);

  // admission.cc and outcome_lookup.cc
  void ProposeAdmission(Request& request);
  void OnAdmission(Request& request, const AdmitResolved& event);
  void OnUnawaitedAdmission(Request& request, const AdmitResolved& event);
  void OnAdmitted(Request& request);
  void OnAdmissionsFull(Request& request);
  void OnNotAdmitted(Request& request, bool was_not_proposed);
  void ReadAdmissionLog(Request& request);
  void OnAdmissionRead(Request& request, const AdmitResolved& event);
  void QueryHolder(Request& request, const AdmitResolved& event);
  void ReplyStored(Request& request, const AdmitResolved& event);
  void ReplyRelayed(Request& request, const RelayResolved& event);
  void ReplyOutcomeLost(Request& request,
                        const std::string& code,
                        const std::string& message);
  void ReplyKeyConflict(Request& request);
  void ReplyNotAdmitted(Request& request, const std::string& message);
  void OnForwardResolved(Request& request, const RelayResolved& event);
  void OnQueryResolved(Request& request, const RelayResolved& event);
  void CloseAdmission(Request& request,
                      wire::AdmissionState outcome,
                      const Answer& pending_answer);
  void ProposePendingClose(Request& request);
  void ScheduleStageRetry(Request& request);
  void RetryStage(Request& request);
  void OnStageTimeout(Request& request);

  DispatcherOptions options_;
  wire::Incarnation incarnation_;
  UpstreamTable upstreams_;
  RequestTable requests_;
  std::map<wire::ServiceId, Service> services_;
  std::map<wire::OwnerId, uint32_t> weights_;
  std::vector<wire::IdleEntry> idle_entries_;
  DispatcherCounters counters_;
  wire::Stamp applied_;
  wire::Version document_version_;
  base::Random random_;
  uint64_t renewal_sequence_ = 0;
  uint64_t generated_keys_ = 0;
  uint64_t last_try_id_ = 0;
  bool is_draining_ = false;
  bool has_returned_grants_ = false;  // grants returned; none is accepted again
  base::Instant next_lateness_check_ = base::Instant::min();

  // State of the current Step call.
  base::Instant now_;
  Effects effects_;
  std::set<wire::ServiceId> queues_to_process_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_DISPATCHER_IMPL_H_
