// The work that waits in each pool, in the order in which the planner serves
// it, kept up to date with every change of a step.

#ifndef JOBS_BACKLOG_H_
#define JOBS_BACKLOG_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "base/time.h"
#include "jobs/dated_work.h"
#include "jobs/job_records.h"
#include "jobs/job_timing.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Whether the job is of no use if it is served too late. Steps of others aren't
// counted as waiting work and are never refused.
bool CanBeTooLate(const JobSpec& spec);

// Tells how large a task is in relation to the largest worker of its pool: 0
// for more than half of it, 1 for more than a quarter, and so on. Much smaller
// tasks overtake larger ones in the gaps that these leave.
uint8_t SizeLevelOf(const Resources& charge, const Resources& largest_worker);

// Not thread-safe.
class Backlog {
 public:
  // A step that is ready and has tasks to start.
  struct Item {
    wire::ServiceId pool;
    bool is_excess = false;
    uint32_t priority = 0;
    CustomerId customer;
    uint8_t size_level = 0;
    Work work;  // at least; of the tasks that wait
    StepDates dates;
  };
  // What a customer has waiting before a new item.
  struct Ahead {
    Work first;   // of better classes
    Work shared;  // of the same class, and due earlier
  };
  // The due time of the new item that others are compared with.
  enum class DueBy { kObjective, kLastUseful };

  void Clear();
  // Adds the step or replaces what is known of it.
  void Put(const StepKey& key, const Item& item);
  // Does nothing if the step isn't contained.
  void Remove(const StepKey& key);
  void RemoveJob(const wire::JobId& job);
  // Takes account of the due times that can't be met any more. `now` must not
  // decrease.
  void AdvanceTo(base::Instant now);

  // Returns, for each customer with work in the pool, what is served before
  // the item, which has just arrived. Items that are too late for any use count
  // only where the new one is in excess. Takes time in proportion to the
  // customers.
  std::map<CustomerId, Ahead> WorkAheadOf(const Item& item, DueBy due_by) const;
  size_t size() const { return items_.size(); }

 private:
  // Which of its due times a step can still meet.
  enum class Phase { kInTime, kUseful, kMissed };
  struct Entry {
    Item item;
    Phase phase = Phase::kInTime;
  };
  struct SectionKey {
    bool is_excess = false;
    uint32_t priority = 0;
    CustomerId customer;
    uint8_t size_level = 0;

    friend auto operator<=>(const SectionKey&, const SectionKey&) = default;
  };
  struct Section {
    DatedWork by_due;       // the time that is still to be met
    DatedWork by_last_use;  // of the same items
    Work missed;            // of the others
    size_t items = 0;       // at least 1
  };
  using Sections = std::map<SectionKey, Section>;

  static SectionKey KeyOf(const Item& item);
  static void AddAhead(const Item& item,
                       DueBy due_by,
                       const SectionKey& key,
                       const Section& section,
                       Ahead& ahead);
  // Returns when the entry leaves its phase.
  static base::Instant EndOfPhase(const Entry& entry);
  static void AddTo(Section& section, const Entry& entry);
  static void RemoveFrom(Section& section, const Entry& entry);

  std::map<wire::ServiceId, Sections> pools_;  // without empty ones
  std::map<StepKey, Entry> items_;
  // When the phases of items end, but for missed ones.
  std::set<std::pair<base::Instant, StepKey>> phase_ends_;
  base::Instant now_ = base::Instant::min();
};

}  // namespace sassafras::jobs

#endif  // JOBS_BACKLOG_H_
