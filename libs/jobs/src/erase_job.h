// Erases all entries of one job from a sorted container.

#ifndef JOBS_SRC_ERASE_JOB_H_
#define JOBS_SRC_ERASE_JOB_H_

#include <algorithm>

#include "wire/ids.h"

namespace sassafras::jobs {

// Erases the entries of `job`, which are adjacent in the sorted container.
// `first` is the lowest key that the job can have; `job_of` returns the job of
// an entry.
template <typename Container, typename Key, typename JobOf>
void EraseJob(Container& container,
              const wire::JobId& job,
              const Key& first,
              JobOf job_of) {
  const auto begin = container.lower_bound(first);
  const auto end = std::find_if(begin, container.end(),
                                [&](auto& it) { return job_of(it) != job; });
  container.erase(begin, end);
}

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_ERASE_JOB_H_
