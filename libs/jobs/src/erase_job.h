// Forgetting what is kept of one job.

#ifndef JOBS_SRC_ERASE_JOB_H_
#define JOBS_SRC_ERASE_JOB_H_

#include <algorithm>

#include "wire/ids.h"

namespace sassafras::jobs {

// Removes the entries of a job from a sorted container, where they follow each
// other. `first` is the lowest key that the job can have; `job_of` tells the
// job of an entry.
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
