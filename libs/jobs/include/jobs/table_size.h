// Estimates how much memory of a control host jobs take by what was asked for,
// and decides whether there is room for more.

#ifndef JOBS_TABLE_SIZE_H_
#define JOBS_TABLE_SIZE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "jobs/job_records.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Returns the bytes that a job takes beside its occurrences, in the table and
// in what the leader derives from it.
size_t SizeOf(const JobSpec& spec);
// Returns the bytes of one occurrence that has begun, without those of tasks
// that have been started.
size_t OccurrenceSizeOf(const JobSpec& spec);
// Returns the bytes of a job of which at most one occurrence has begun.
size_t SizeWithOccurrence(const JobSpec& spec);
// Returns the bytes of a job as it is. Room for one occurrence is included as
// long as the job is active.
size_t SizeOf(const JobRecord& job);

// Who has submitted a job, as far as that is known: a customer, or else
// somebody who uses the queue.
struct JobOwner {
  CustomerId customer;
  QueueId queue;  // empty if `customer` isn't

  static JobOwner Of(const CustomerId& customer, const QueueId& queue);
  friend auto operator<=>(const JobOwner&, const JobOwner&) = default;
};

// Sums of sizes by owner. Not thread-safe.
class OwnerSizes {
 public:
  void Add(const JobOwner& owner, size_t bytes);
  // The owner must have been given as many bytes before.
  void Remove(const JobOwner& owner, size_t bytes);

  size_t total() const { return total_; }
  size_t Of(const JobOwner& owner) const;

 private:
  std::map<JobOwner, size_t> bytes_;  // without zeros
  size_t total_ = 0;                  // in bytes
};

// The part of the memory that jobs may take, in bytes. An owner may hold as
// much as stays free beside it, so that several share the room and the last one
// still finds some; a large job needs several times its size, so that small
// ones find room beside a crowd of large ones.
class TableBudget {
 public:
  explicit TableBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  size_t max_bytes() const { return max_bytes_; }
  // Returns why the job can't be accepted at any time, or an empty string.
  std::string FaultOf(const JobSpec& spec) const;
  // Returns by how many bytes the room is too small for an addition of this
  // size; 0 if there is room. `held` is what the owner holds, `total` what all
  // hold.
  size_t MissingFor(size_t bytes, size_t held, size_t total) const;

 private:
  size_t max_bytes_;
};

// Measures how fast jobs release memory. Not thread-safe.
class ReleaseRate {
 public:
  // `released` is what jobs have released so far, in bytes. Must be called
  // every second or so.
  void Update(uint64_t released, base::Instant now);
  // Returns when `missing` bytes are likely to be free, between 1 and 30 s.
  base::Duration TimeToFree(size_t missing) const;

 private:
  std::optional<base::Instant> updated_at_;
  uint64_t released_ = 0;
  double bytes_per_second_ = 0;
};

}  // namespace sassafras::jobs

#endif  // JOBS_TABLE_SIZE_H_
