// Caches the answers of the external placement service (which workers may run a
// step, and the tickets that prove it) and assigns advice queries to hosts. A
// host has one query in flight at a time, so queries are spread over the hosts,
// and slow queries never take the last idle hosts.

#ifndef JOBS_ADVICE_H_
#define JOBS_ADVICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "base/time.h"
#include "jobs/manifest.h"
#include "jobs/types.h"
#include "wire/ids.h"

namespace sassafras::jobs {

using AdviceQueryId = base::Number<struct AdviceQueryTag>;

// Query to the placement service: which of `workers` may run `step`?
struct AdviceQuery {
  AdviceQueryId id;
  StepKey step;
  std::vector<wire::WorkerId> workers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviceQuery, id, step, workers)

struct Permit {
  wire::WorkerId worker;
  std::string ticket;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Permit, worker, ticket)

// Free capacity that is kept for a step while a query about it is in flight.
struct CapacityClaim {
  WorkerBoot worker;
  size_t tasks = 0;
  Resources amount;  // of all these tasks
};

// A step that can't be placed with its current permits. `candidates` are the
// workers that could run it, best first. If they are more than one query should
// name, several queries share them, which are answered sooner than one; hosts
// that other requests may need aren't used for that.
struct AdviceRequest {
  StepKey step;
  QueueId queue;
  AdvicePolicy policy;
  std::vector<WorkerBoot> candidates;
  bool has_capacity = false;  // at least one candidate has free capacity
  // Tickets that would expire before the answer comes are renewed, too.
  bool renews_early = false;
  std::vector<CapacityClaim> claims;
};

// Number of idle hosts that must remain for quicker queries when a query under
// `policy` is sent.
size_t ReservedHostCount(const AdvicePolicy& policy);

// A query and the host that sends it.
struct AssignedQuery {
  wire::EntryId host;
  AdviceQuery query;
  base::Duration expected{};  // processing time of the service
};

// Answer of the placement service about a worker and a step. Allowed and
// refused are final.
enum class AdviceStatus { kUnknown, kAllowed, kRefused };

// Not thread-safe. Lives for one term of leadership.
class AdviceTracker {
 public:
  using AnswerMap = boost::container::flat_map<wire::WorkerId, WorkerBoot>;

  // Returns the ticket with which `worker` may run `step`. Returns null if
  // there is none, or if it is about to expire.
  const std::string* Ticket(const StepKey& step,
                            const WorkerBoot& worker,
                            base::Instant now) const;

  // Returns the workers, sorted by id, that may run `step` with tickets that
  // aren't about to expire. The pointers are valid until the tracker is
  // modified.
  std::vector<const WorkerBoot*> AllowedWorkers(const StepKey& step,
                                                base::Instant now) const;
  // The same, also with tickets that have expired and can be renewed.
  std::vector<const WorkerBoot*> PermittedWorkers(const StepKey& step) const;

  // Returns the workers, permitted or refused, about which an answer on `step`
  // is known. The reference is valid until the tracker is modified.
  const AnswerMap& AnsweredWorkers(const StepKey& step) const;

  // Ignores whether the ticket has expired.
  AdviceStatus StatusOf(const StepKey& step, const WorkerBoot& worker) const;

  // Returns the capacity claimed by the queries about the step that are in
  // flight; empty if there are none.
  std::vector<CapacityClaim> ClaimsOf(const StepKey& step) const;

  // Returns the capacity that queries in flight have claimed on the worker.
  Resources ClaimedOn(const WorkerBoot& worker) const;

  // Returns the share of workers of which past answers on the queue's steps
  // permitted the use, in (0, 1].
  double PermittedShare(const QueueId& queue) const;

  // Whether any query about the step has been answered.
  bool HasAnswer(const StepKey& step) const;

  // Returns how many of `hosts` can send a query now.
  size_t CountIdleHosts(std::span<const wire::EntryId> hosts,
                        base::Instant now) const;

  size_t CountOpenQueries() const { return open_queries_.size(); }

  // Whether a query about the step is in flight.
  bool HasOpenQuery(const StepKey& step) const;
  // Whether one of these renews tickets early. Other queries about the step
  // don't delay one that does.
  bool HasOpenRenewal(const StepKey& step) const;

  // Whether a query for the request would name any worker.
  bool NeedsQuery(const AdviceRequest& request, base::Instant now) const;

  // Chooses queries for `requests`, which are sorted by urgency, and marks them
  // as in flight. `hosts` are the available hosts; those that are busy or back
  // off after a failure are skipped.
  std::vector<AssignedQuery> AssignQueries(
      std::span<const AdviceRequest> requests,
      std::span<const wire::EntryId> hosts,
      base::Instant now);

  void OnAnswer(AdviceQueryId id,
                std::span<const Permit> permits,
                base::Instant now);
  // The service refused the query, or no answer came. The step can be queried
  // again after a short delay; the host backs off for longer, so that another
  // host tries first.
  void OnFailure(AdviceQueryId id, base::Instant now);

  void ForgetJob(const wire::JobId& job);

 private:
  struct WorkerPermit {
    WorkerBoot worker;
    std::string ticket;
    base::Instant valid_until;
  };
  // Answers about a step. Permission is final; only tickets expire.
  struct StepAdvice {
    boost::container::flat_map<wire::WorkerId, WorkerPermit> allowed;
    // Allowed and refused workers.
    AnswerMap answered;
    std::set<AdviceQueryId> open_queries;  // in flight
    base::Instant next_query_at;
  };
  struct OpenQuery {
    wire::EntryId host;
    StepKey step;
    QueueId queue;
    std::vector<WorkerBoot> workers;
    base::Duration validity{};
    std::vector<CapacityClaim> claims;
    bool renews_early = false;
  };

  static std::vector<WorkerBoot> WorkersToQuery(const AdviceRequest& request,
                                                const StepAdvice& advice,
                                                base::Instant now);
  // Marks a query about `workers` as in flight.
  AssignedQuery AddQuery(const AdviceRequest& request,
                         std::span<const WorkerBoot> workers,
                         const wire::EntryId& host);
  void AddClaims(const OpenQuery& query);
  void RemoveClaims(const OpenQuery& query);
  void LearnPermittedShare(const OpenQuery& query,
                           const StepAdvice& advice,
                           size_t permitted);
  bool CanQuery(const wire::EntryId& host, base::Instant now) const;

  std::map<StepKey, StepAdvice> steps_;
  std::map<AdviceQueryId, OpenQuery> open_queries_;
  std::set<wire::EntryId> querying_hosts_;  // hosts of `open_queries_`
  // Hosts whose last query failed.
  std::map<wire::EntryId, base::Instant> backoff_until_;
  AdviceQueryId last_id_;
  std::map<QueueId, double> permitted_shares_;  // moving averages
  // Sum of the claims of `open_queries_`.
  std::map<WorkerBoot, Resources> claimed_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_ADVICE_H_
