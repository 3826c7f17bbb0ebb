// Arithmetic on amounts of capacity.

#include "wire/resources.h"

#include <algorithm>

namespace sassafras::wire {

Resources& Resources::operator+=(const Resources& other) {
  milli_cpus += other.milli_cpus;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  milli_cpus -= other.milli_cpus;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& room) const {
  return milli_cpus <= room.milli_cpus && memory_mib <= room.memory_mib &&
         accelerators <= room.accelerators;
}

Resources Resources::Max(const Resources& a, const Resources& b) {
  return {std::max(a.milli_cpus, b.milli_cpus),
          std::max(a.memory_mib, b.memory_mib),
          std::max(a.accelerators, b.accelerators)};
}

std::string Resources::ToString() const {
  return std::to_string(milli_cpus) + "m cpu, " + std::to_string(memory_mib) +
         " MiB, " + std::to_string(accelerators) + " accelerators";
}

}  // namespace sassafras::wire
