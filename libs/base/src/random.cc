// Seeded random numbers on the standard library's Mersenne twister.

#include "base/random.h"

#include <iomanip>
#include <sstream>

namespace sassafras::base {

uint64_t Random::Below(uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
}

double Random::Fraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

std::string Random::HexId() {
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  out << std::setw(16) << engine_() << std::setw(16) << engine_();
  return out.str();
}

Random Random::FromSystem() {
  std::random_device device;
  const uint64_t high = device();
  return Random((high << 32) | device());
}

}  // namespace sassafras::base
