// Random value generators shared by the property tests.

#ifndef PLACEMENT_TEST_GENERATORS_H_
#define PLACEMENT_TEST_GENERATORS_H_

#include <cstdint>

#include <rapidcheck.h>

#include "wire/resources.h"

namespace sassafras::placement {

// Returns a value in [minimum, limit). The nominal size makes RapidCheck use
// the whole range from the first test case on.
template <typename T>
T InRange(T minimum, T limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(minimum, limit));
}

inline wire::Resources RandomResources(int64_t max_milli_cpus,
                                       int64_t max_memory_mib,
                                       int64_t max_accelerators) {
  return {InRange<int64_t>(0, max_milli_cpus + 1),
          InRange<int64_t>(0, max_memory_mib + 1),
          InRange<int64_t>(0, max_accelerators + 1)};
}

}  // namespace sassafras::placement

#endif  // PLACEMENT_TEST_GENERATORS_H_
