// Counts the jobs that each customer submits, and tells which of them are
// beyond its weight and therefore yield to all others.

#ifndef JOBS_SUBMISSION_RATES_H_
#define JOBS_SUBMISSION_RATES_H_

#include <deque>
#include <map>

#include "base/time.h"
#include "jobs/customer.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Not thread-safe. Lives for one term of leadership: a new leader begins
// without a count.
class SubmissionRates {
 public:
  // Counts a job that is submitted at `now`, and returns whether it is in
  // excess. In any second, `weight` jobs of a customer aren't, rounded down; a
  // weight below 1 allows one job in 1 / weight seconds, at most a minute, and
  // a weight of 0 or above 10,000 any number. A job that is submitted again
  // meanwhile counts once. `now` must not decrease.
  bool IsExcess(const Customer& customer,
                const wire::JobId& job,
                base::Instant now);
  // The job was not accepted, so that it doesn't count.
  void Withdraw(const CustomerId& customer, const wire::JobId& job);

 private:
  struct Submission {
    base::Instant at;
    wire::JobId job;
  };

  void DropIdleCustomers(base::Instant now);

  // The jobs that aren't in excess, the oldest first; at most as many as the
  // customer's weight.
  std::map<CustomerId, std::deque<Submission>> submissions_;
  base::Instant next_cleanup_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SUBMISSION_RATES_H_
