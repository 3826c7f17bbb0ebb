// What the outside placement service allows: which workers may run a step,
// with the tickets that prove it, and which question is asked next from which
// host. The service works on one question of a host at a time, so questions
// are spread over hosts, and slow ones never take the last idle hosts.

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

#include "base/time.h"
#include "jobs/manifest.h"
#include "jobs/types.h"
#include "wire/ids.h"

namespace sassafras::jobs {

using QuestionId = base::Number<struct QuestionTag>;

// Asks which of `workers` may run `step`.
struct Question {
  QuestionId id;
  StepKey step;
  std::vector<wire::WorkerId> workers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Question, id, step, workers)

struct Permit {
  wire::WorkerId worker;
  std::string ticket;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Permit, worker, ticket)

// A step that can't be placed with the permits it has. `candidates` could run
// it, the best ones first.
struct AdviceWish {
  StepKey step;
  AdvicePolicy policy;
  std::vector<WorkerBoot> candidates;
  bool has_room = false;  // on one of the candidates at least
};

// Idle hosts that a question by this policy leaves to quicker ones.
size_t HostsSpared(const AdvicePolicy& policy);

// A question and the host that asks it.
struct Asking {
  wire::EntryId host;
  Question question;
  base::Duration expected{};  // time that the service takes for it
};

// What an earlier answer said of a worker and a step; it never changes.
enum class Standing { kUnknown, kAllowed, kRefused };

// Not thread-safe. Lives for one term of leadership.
class AdviceBook {
 public:
  // The ticket with which `worker` may run `step`; null where there is none
  // that stays valid for a moment.
  const std::string* Ticket(const StepKey& step,
                            const WorkerBoot& worker,
                            base::Instant now) const;

  // The workers that may run `step` by tickets that stay valid for a moment,
  // sorted by id. They stay where they are until the book changes.
  std::vector<const WorkerBoot*> Allowed(const StepKey& step,
                                         base::Instant now) const;

  // Whatever the state of the ticket.
  Standing StandingOf(const StepKey& step, const WorkerBoot& worker) const;

  // Whether any question about the step was answered.
  bool IsKnown(const StepKey& step) const;

  // How many of `hosts` can ask a question now.
  size_t CountIdle(std::span<const wire::EntryId> hosts,
                   base::Instant now) const;

  // Whether a question about the step is on its way.
  bool IsAsked(const StepKey& step) const;

  // Picks questions for `wishes`, which are in the order of urgency, and marks
  // them as asked. `hosts`: those that can ask now.
  std::vector<Asking> Ask(std::span<const AdviceWish> wishes,
                          std::span<const wire::EntryId> hosts,
                          base::Instant now);

  void OnAnswer(QuestionId id,
                std::span<const Permit> permits,
                base::Instant now);
  // The service refused, or no answer came; asked again after a pause, from
  // another host first.
  void OnFailure(QuestionId id, base::Instant now);

  // The job has ended and needs no more advice.
  void ForgetJob(const wire::JobId& job);

 private:
  struct WorkerPermit {
    WorkerBoot worker;
    std::string ticket;
    base::Instant valid_until;
  };
  // What is known of a step. Which workers are allowed never changes; only
  // tickets run out.
  struct Known {
    std::map<wire::WorkerId, WorkerPermit> allowed;
    std::map<wire::WorkerId, WorkerBoot> answered;  // whatever the answer
    bool is_asked = false;                          // a question is on its way
    base::Instant not_before;
  };
  struct Sent {
    wire::EntryId host;
    StepKey step;
    std::vector<WorkerBoot> workers;
    base::Duration validity{};
  };

  std::vector<WorkerBoot> Unanswered(const AdviceWish& wish,
                                     const Known& known,
                                     base::Instant now) const;
  bool CanAsk(const wire::EntryId& host, base::Instant now) const;

  std::map<StepKey, Known> steps_;
  std::map<QuestionId, Sent> sent_;
  std::set<wire::EntryId> asking_;                  // hosts of `sent_`
  std::map<wire::EntryId, base::Instant> resting_;  // after a failure, until
  QuestionId last_id_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_ADVICE_H_
