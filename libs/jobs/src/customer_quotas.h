// Tells, while a plan is made, what customers may still start: under their
// caps, and with regard to their shares of each pool.

#ifndef JOBS_SRC_CUSTOMER_QUOTAS_H_
#define JOBS_SRC_CUSTOMER_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "base/fair_share.h"
#include "jobs/customer.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// How a customer's part of a pool, together with the next task of a step,
// compares with its share. Lower levels are served first: with a backlog of all
// customers, each gets its share rounded down to whole tasks before anyone gets
// it rounded up, and that before anyone gets more.
enum class ShareLevel : uint8_t {
  kWithin,    // at most the share, or no share applies
  kReaching,  // below the share without the task, above it with the task
  kBeyond,    // at least the share without the task
  // Each further level is for one and a half times as much. This one is for at
  // least eleven times the share.
  kFarBeyond = kBeyond + 6,
};

// The part of a pool that one customer uses, and what it uses of all pools.
// Includes what the plan adds. Work without a customer has none; functions take
// null for it, which stands for no cap and no share.
class PoolUse {
 public:
  // Returns how many more tasks of the step the customer's cap lets start.
  static size_t CountStartable(const PoolUse* use, const StepSpec& step);
  // The same, less the tasks for which advice queries have claimed capacity.
  static size_t CountUnclaimed(const PoolUse* use, const StepSpec& step);
  // Returns the level of the next `tasks` of the step, which start together.
  static ShareLevel LevelOf(const PoolUse* use,
                            const StepSpec& step,
                            size_t tasks);
  // Counts tasks of the step that the plan starts.
  static void AddStarts(PoolUse* use, const StepSpec& step, size_t tasks);
  // Counts tasks of the step for which an advice query claims capacity.
  static void AddClaims(PoolUse* use, const StepSpec& step, size_t tasks);

 private:
  friend class CustomerQuotas;

  // Over all pools.
  struct CustomerUse {
    const Customer* customer = nullptr;
    Resources need;     // of open runs and starts
    Resources claimed;  // need of the tasks that queries are about
  };
  // Of all customers that wait or run in the pool and have a weight.
  struct Shares {
    Resources capacity;
    double sum_of_weights = 0;
    std::set<CustomerId> customers;
  };

  base::Share ShareWith(const Resources& more) const;
  void AddCharge(const Resources& charge);

  CustomerUse* all_pools_ = nullptr;
  const Shares* shares_ = nullptr;
  Resources charge_;  // in the pool, of open runs, starts and kept claims
  // Set by CustomerQuotas::FixShares(): the share, and the level of what the
  // customer has without another task.
  base::Share entitled_ = base::kWholeShare;
  ShareLevel level_ = ShareLevel::kWithin;
};

// Not thread-safe. Keeps a reference to the table.
class CustomerQuotas {
 public:
  explicit CustomerQuotas(const JobTable& table) : table_(table) {}

  // Forgets what earlier plans have added, and invalidates pointers. Keeps the
  // capacities and which customers share a pool.
  void BeginPlan();
  // Counts the customers with open runs among those that share their pools.
  void AddRunningCustomers();
  // Whether any customer has a share of any pool.
  bool HasShares() const { return !shares_.empty(); }
  // `capacity` is what all customers together can use.
  void SetCapacity(const wire::ServiceId& pool, const Resources& capacity);

  // Notes that work of the customer waits in the pool. Returns null if
  // `customer` is empty or isn't known. Valid until BeginPlan().
  PoolUse* Open(const CustomerId& customer, const wire::ServiceId& pool);
  // Computes the shares. Must be called after the functions above and before
  // anything is placed; until then all levels are ShareLevel::kWithin.
  void FixShares();

 private:
  void AddToShares(const Customer& customer, PoolUse::Shares& shares);

  const JobTable& table_;
  std::map<wire::ServiceId, PoolUse::Shares> shares_;
  std::map<CustomerId, PoolUse::CustomerUse> customers_;
  std::map<std::pair<wire::ServiceId, CustomerId>, PoolUse> uses_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_CUSTOMER_QUOTAS_H_
