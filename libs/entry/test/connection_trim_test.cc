// Property test with changing grants and a pool that keeps idle connections
// open: never more connections are open than the renewal reports. Guards
// against an upstream that gets more connections than the leader accounts for.

#include "connection_trim.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafras::entry {
namespace {

// Models the connections to one upstream. At most `granted` are opened; an idle
// connection stays open until it is closed explicitly.
struct NaivePool {
  uint32_t granted = 0;
  uint32_t in_use = 0;
  uint32_t idle = 0;

  uint32_t open() const { return in_use + idle; }
  void Start() {
    if (idle > 0 && in_use < granted) {
      --idle;
      ++in_use;
    } else if (open() < granted) {
      ++in_use;
    }
  }
  void Finish() {
    idle += in_use > 0 ? 1 : 0;
    in_use -= in_use > 0 ? 1 : 0;
  }
};

wire::EntryAnswer Grant(uint32_t connections) {
  wire::EntryAnswer answer;
  answer.routes.resize(1);
  answer.routes[0].address = "127.0.0.1";
  answer.routes[0].port = 9000;
  answer.routes[0].connections = connections;
  return answer;
}

RC_GTEST_PROP(ConnectionTrimTest, RenewalReportsAllOpenConnections, ()) {
  ConnectionTrim trim;
  NaivePool pool;
  const auto steps =
      *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::resize(
          100, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 16))));
  for (const auto& [kind, amount] : steps) {
    if (kind == 0) {
      pool.granted = amount;
      trim.OnAnswer(Grant(pool.granted));
    } else if (kind == 1) {
      pool.granted = 0;  // the session is lost
    } else if (kind == 2) {
      pool.Finish();
    } else if (kind == 3) {
      wire::EntryRenewal renewal;
      const uint32_t reported = std::max(pool.granted, pool.in_use);
      if (reported > 0) {
        renewal.held.resize(1);
        renewal.held[0].address = "127.0.0.1";
        renewal.held[0].port = 9000;
        renewal.held[0].connections = reported;
      }
      pool.idle = trim.OnRenewal(renewal).empty() ? pool.idle : 0;
      RC_ASSERT(pool.open() <= reported);
    } else {
      pool.Start();
    }
  }
}

}  // namespace
}  // namespace sassafras::entry
