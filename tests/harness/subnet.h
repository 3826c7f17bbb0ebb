// Loopback addresses for the processes of a test.

#ifndef TESTS_HARNESS_SUBNET_H_
#define TESTS_HARNESS_SUBNET_H_

#include <unistd.h>

#include <atomic>
#include <string>

namespace sassafras::tests {

// Returns the first three numbers of loopback addresses, with the dot behind
// them, that no other cluster of this test process uses, and most likely none
// of another test process.
inline std::string NextSubnet() {
  static std::atomic<int> count = 0;
  const int pid = getpid();
  constexpr int kByte = 200;
  return "127." + std::to_string(10 + pid % kByte) + "." +
         std::to_string((pid / kByte + 17 * count++) % kByte + 1) + ".";
}

}  // namespace sassafras::tests

#endif  // TESTS_HARNESS_SUBNET_H_
