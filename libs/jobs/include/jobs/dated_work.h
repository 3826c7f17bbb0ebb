// Sums of work by date: how much of it is due before a time.

#ifndef JOBS_DATED_WORK_H_
#define JOBS_DATED_WORK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "jobs/types.h"

namespace sassafras::jobs {

// Resources that are occupied for a time: each amount is multiplied by ms.
using Work = Resources;

// A tree of sums over dates in ms. Each operation takes time in proportion to
// the digits of a date, whatever the number of items. Not thread-safe.
class DatedWork {
 public:
  // Dates outside [0, kMaxDate] count as the nearest date in it.
  static constexpr int64_t kMaxDate = (int64_t{1} << 44) - 1;

  void Add(int64_t date, const Work& work);
  // The same must have been added.
  void Remove(int64_t date, const Work& work);
  // Returns the sum over all dates before `date`.
  Work SumBefore(int64_t date) const;
  const Work& Total() const { return total_; }
  bool IsEmpty() const { return levels_[0].empty(); }

 private:
  static constexpr int kDigitBits = 4;
  static constexpr size_t kLevels = 11;  // digits of kMaxDate
  struct Node {
    Work work;
    uint64_t items = 0;  // at least 1
  };

  // Level n holds the sums over dates that are equal but for their last n
  // digits, by the digits before these.
  std::array<std::map<int64_t, Node>, kLevels> levels_;
  Work total_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_DATED_WORK_H_
