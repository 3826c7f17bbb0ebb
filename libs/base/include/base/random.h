// A seeded random generator, handed to the cores so that runs can be repeated.

#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace sassafras::base {

// Not thread-safe: each core owns one.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // A number in [0, bound). `bound` must be above zero.
  uint64_t Below(uint64_t bound);

  // A number in [0, 1).
  double Fraction();

  // 32 hexadecimal digits, for ids that must not collide.
  std::string HexId();

  // A generator seeded from the operating system. Services only.
  static Random FromSystem();

 private:
  std::mt19937_64 engine_;
};

}  // namespace sassafras::base

#endif  // BASE_RANDOM_H_
