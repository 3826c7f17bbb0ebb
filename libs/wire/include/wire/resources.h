// Amounts of capacity in exact integers.

#ifndef WIRE_RESOURCES_H_
#define WIRE_RESOURCES_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace sassafras::wire {

// What a worker has or a task takes. All values are at least zero except in
// differences.
struct Resources {
  int64_t milli_cpus = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  // Every dimension is at most that of `room`.
  bool FitsIn(const Resources& room) const;

  // Dimension by dimension, the larger of the two.
  static Resources Max(const Resources& a, const Resources& b);

  // "4000m cpu, 512 MiB, 1 accelerators".
  std::string ToString() const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources,
                                                milli_cpus,
                                                memory_mib,
                                                accelerators)

}  // namespace sassafras::wire

#endif  // WIRE_RESOURCES_H_
