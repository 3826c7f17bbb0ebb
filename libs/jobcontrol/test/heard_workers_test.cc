// Tests which heartbeats a control host answers without the leader.

#include "heard_workers.h"

#include <gtest/gtest.h>

namespace sassafras::jobcontrol {
namespace {

WorkerHeartbeat Heartbeat() {
  WorkerHeartbeat heartbeat;
  heartbeat.worker.boot = {wire::WorkerId("w"), 5};
  heartbeat.worker.address = "10.0.0.9";
  heartbeat.worker.port = 80;
  heartbeat.clock_ms = 1234;
  return heartbeat;
}

class HeardWorkersTest : public testing::Test {
 protected:
  HeardWorkersTest() {
    jobs::Batch batch;
    batch.workers = {Heartbeat().worker};
    table_.Apply(batch);
  }

  jobs::JobTable table_;
  HeardWorkers heard_;
};

TEST_F(HeardWorkersTest, AnUnchangedWorkerIsReportedOnce) {
  EXPECT_TRUE(heard_.Take(table_, Heartbeat()));
  const auto report = heard_.TakeReport();
  ASSERT_EQ(report.size(), 1U);
  EXPECT_EQ(report[0].boot, Heartbeat().worker.boot);
  EXPECT_EQ(report[0].clock_ms, 1234);
  EXPECT_TRUE(heard_.TakeReport().empty());
}

TEST_F(HeardWorkersTest, ANewBootIsLeftToTheLeader) {
  WorkerHeartbeat heartbeat = Heartbeat();
  heartbeat.worker.boot.started_ms = 6;
  EXPECT_FALSE(heard_.Take(table_, heartbeat));
  EXPECT_TRUE(heard_.TakeReport().empty());
}

// The acknowledgement of a draining worker promises that no task starts there
// any more.
TEST_F(HeardWorkersTest, ADrainingWorkerIsLeftToTheLeaderUntilRecorded) {
  WorkerHeartbeat heartbeat = Heartbeat();
  heartbeat.worker.is_draining = true;
  EXPECT_FALSE(heard_.Take(table_, heartbeat));
  jobs::Batch batch;
  batch.workers = {heartbeat.worker};
  table_.Apply(batch);
  EXPECT_TRUE(heard_.Take(table_, heartbeat));
}

TEST_F(HeardWorkersTest, AnUnknownWorkerIsLeftToTheLeader) {
  WorkerHeartbeat heartbeat = Heartbeat();
  heartbeat.worker.boot.id = wire::WorkerId("v");
  EXPECT_FALSE(heard_.Take(table_, heartbeat));
}

}  // namespace
}  // namespace sassafras::jobcontrol
