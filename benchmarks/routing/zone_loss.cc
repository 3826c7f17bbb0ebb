// Prints the outcomes of requests before and after the loss of a zone, in
// logical time.

#include <iomanip>
#include <iostream>

#include "zone_loss.h"

int main() {
  using sassafras::routing::test::RunZoneLoss;
  for (const double load : {0.7, 2.0}) {
    const auto loss = RunZoneLoss(load, 1, true);
    std::cout << "load " << load
              << " of the remaining capacity, incorrect response: "
              << (loss.incorrect_response.empty() ? "none"
                                                  : loss.incorrect_response)
              << "\n"
              << "   from s    sent  completed  refused  unknown"
                 "  slowest refusal ms\n"
              << std::fixed << std::setprecision(1);
    for (const auto& it : loss.spans) {
      std::cout << std::setw(9) << it.from.count() / 1e6 << std::setw(8)
                << it.sent << std::setw(11) << it.completed << std::setw(9)
                << it.refused << std::setw(9) << it.unknown << std::setw(20)
                << it.slowest_refusal.count() / 1e3 << "\n";
    }
  }
  return 0;
}
