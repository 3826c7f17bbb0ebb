// Compares what customers use with their caps and shares.

#include "customer_quotas.h"

#include <algorithm>
#include <array>
#include <limits>
#include <ranges>

namespace sassafras::jobs {
namespace {

base::Share DominantShare(const Resources& held, const Resources& total) {
  return base::DominantShare(std::array<base::HeldAmount, 3>{
      {{held.cpu_milli, total.cpu_milli},
       {held.mem_mb, total.mem_mb},
       {held.accelerators, total.accelerators}}});
}

// Where `used` is above the cap in any resource, also in one that the task
// doesn't need, no task fits.
size_t CountUnderCap(const Resources& cap,
                     const Resources& used,
                     const Resources& need) {
  int64_t fitting = std::numeric_limits<int64_t>::max();
  for (const auto kind : kResourceKinds) {
    if (cap.*kind <= 0) {
      continue;
    }
    const int64_t left = cap.*kind - used.*kind;
    if (left < 0) {
      return 0;
    }
    if (need.*kind > 0) {
      fitting = std::min(fitting, left / need.*kind);
    }
  }
  return static_cast<size_t>(fitting);
}

}  // namespace

size_t PoolUse::CountStartable(const PoolUse* use, const StepSpec& step) {
  if (use == nullptr) {
    return std::numeric_limits<size_t>::max();
  }
  const CustomerUse& it = *use->all_pools_;
  return CountUnderCap(it.customer->cap, it.need, step.need);
}

size_t PoolUse::CountUnclaimed(const PoolUse* use, const StepSpec& step) {
  if (use == nullptr) {
    return std::numeric_limits<size_t>::max();
  }
  const CustomerUse& it = *use->all_pools_;
  Resources used = it.need;
  used += it.claimed;
  return CountUnderCap(it.customer->cap, used, step.need);
}

ShareLevel PoolUse::LevelOf(const PoolUse* use,
                            const StepSpec& step,
                            size_t tasks) {
  if (use == nullptr || use->entitled_ >= base::kWholeShare) {
    return ShareLevel::kWithin;
  }
  if (use->level_ >= ShareLevel::kBeyond) {
    return use->level_;
  }
  return use->ShareWith(Times(step.Charge(), tasks)) <= use->entitled_
             ? ShareLevel::kWithin
             : ShareLevel::kReaching;
}

// Also computes the level that results.
void PoolUse::AddCharge(const Resources& charge) {
  charge_ += charge;
  const base::Share held = ShareWith({});
  base::Share limit = entitled_;
  level_ = ShareLevel::kWithin;
  if (held < limit) {
    return;
  }
  level_ = ShareLevel::kBeyond;
  while (level_ < ShareLevel::kFarBeyond && held >= limit + limit / 2) {
    limit += limit / 2;
    level_ = static_cast<ShareLevel>(static_cast<uint8_t>(level_) + 1);
  }
}

base::Share PoolUse::ShareWith(const Resources& more) const {
  Resources held = charge_;
  held += more;
  return DominantShare(held, shares_->capacity);
}

void PoolUse::AddStarts(PoolUse* use, const StepSpec& step, size_t tasks) {
  if (use != nullptr) {
    use->all_pools_->need += Times(step.need, tasks);
    use->AddCharge(Times(step.Charge(), tasks));
  }
}

// A gang's query keeps no capacity from other work.
void PoolUse::AddClaims(PoolUse* use, const StepSpec& step, size_t tasks) {
  if (use != nullptr) {
    use->all_pools_->claimed += Times(step.need, tasks);
    use->AddCharge(step.is_gang ? Resources{} : Times(step.Charge(), tasks));
  }
}

void CustomerQuotas::BeginPlan() {
  uses_.clear();
  customers_.clear();
}

void CustomerQuotas::AddRunningCustomers() {
  for (const auto& [id, load] : table_.customer_loads().all()) {
    const Customer* customer = table_.FindCustomer(id);
    for (const auto& [pool, in_pool] : load.pools) {
      if (customer != nullptr) {
        AddToShares(*customer, shares_[pool]);
      }
    }
  }
}

void CustomerQuotas::SetCapacity(const wire::ServiceId& pool,
                                 const Resources& capacity) {
  shares_[pool].capacity = capacity;
}

PoolUse* CustomerQuotas::Open(const CustomerId& customer,
                              const wire::ServiceId& pool) {
  if (customer.empty()) {
    return nullptr;
  }
  const auto known = uses_.find({pool, customer});
  if (known != uses_.end()) {
    return &known->second;
  }
  const Customer* definition = table_.FindCustomer(customer);
  if (definition == nullptr) {
    return nullptr;
  }
  const CustomerLoads::Load* load = table_.customer_loads().Find(customer);
  auto [all_pools, is_new] = customers_.try_emplace(customer);
  if (is_new) {
    all_pools->second = {
        definition, load == nullptr ? Resources{} : load->need, {}};
  }
  PoolUse& use = uses_[{pool, customer}];
  use.all_pools_ = &all_pools->second;
  PoolUse::Shares& shares = shares_[pool];
  AddToShares(*definition, shares);
  use.shares_ = &shares;
  if (load != nullptr) {
    const auto in_pool = load->pools.find(pool);
    use.charge_ =
        in_pool == load->pools.end() ? Resources{} : in_pool->second.charge;
  }
  return &use;
}

// A customer that has no weight, or the pool for itself, has no share that
// limits it.
void CustomerQuotas::FixShares() {
  for (PoolUse& use : uses_ | std::views::values) {
    const double weight = use.all_pools_->customer->weight;
    if (weight > 0 && use.shares_->customers.size() > 1) {
      use.entitled_ = base::Entitlement(weight, use.shares_->sum_of_weights);
      use.AddCharge({});
    }
  }
}

void CustomerQuotas::AddToShares(const Customer& customer,
                                 PoolUse::Shares& shares) {
  if (customer.weight > 0 && shares.customers.insert(customer.id).second) {
    shares.sum_of_weights += customer.weight;
  }
}

}  // namespace sassafras::jobs
