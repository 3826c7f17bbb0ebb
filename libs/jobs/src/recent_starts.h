// Adds up the capacity that runs took when they were started lately, for each
// pool. It tells how much work that arrives soon will need.

#ifndef JOBS_SRC_RECENT_STARTS_H_
#define JOBS_SRC_RECENT_STARTS_H_

#include <chrono>
#include <deque>
#include <map>

#include "base/time.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Not thread-safe. Times must not decrease.
class RecentStarts {
 public:
  // How long a start counts. Most tasks are placed within this time from their
  // job's arrival, an advice query included.
  static constexpr base::Duration kWindow = std::chrono::seconds(2);

  void Add(const wire::ServiceId& pool,
           const Resources& charge,
           base::Instant now);
  // Returns the charges of the starts in the pool within kWindow before `now`.
  Resources SumOf(const wire::ServiceId& pool, base::Instant now) const;

 private:
  struct Starts {
    base::Instant at;
    Resources charge;
  };
  struct Pool {
    std::deque<Starts> starts;  // one element for each time
    Resources sum;
  };

  std::map<wire::ServiceId, Pool> pools_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_RECENT_STARTS_H_
