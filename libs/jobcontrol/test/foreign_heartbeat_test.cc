// Tests of heartbeats that another writer may have left among those of the
// workers.

#include <gtest/gtest.h>

#include "jobcontrol/leader.h"
#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

class ForeignHeartbeatTest : public LeaderTest {
 protected:
  void SendHeartbeat(const jobs::WorkerInfo& info) {
    context_.leader->OnHeartbeat(
        info, context_.ClockMs(),
        [this](RecordResult result) { acknowledged_ = result; });
    context_.Commit();
  }

  RecordResult acknowledged_ = RecordResult::kNotRecorded;
};

// The heartbeat of a service that no manifest names took the address of a live
// worker over, whose tasks were then started again while they ran.
TEST_F(ForeignHeartbeatTest, AnUnknownServiceDisplacesNoWorkerAtItsAddress) {
  ASSERT_NO_FATAL_FAILURE(RunTask());
  AddWorker("v");
  jobs::WorkerInfo odd = Worker("odd");
  odd.boot.started_ms = 2;
  odd.service = wire::ServiceId("nobody");
  odd.address = Worker("w").address;
  SendHeartbeat(odd);
  EXPECT_EQ(acknowledged_, RecordResult::kRecorded);
  EXPECT_NE(context_.table().FindWorker(wire::WorkerId("w")), nullptr);
  EXPECT_EQ(context_.table().FindWorker(wire::WorkerId("odd")), nullptr);
  jobs::HoldReply lists;
  lists.running = {{FirstStart().task, 1, "", 10, 0}};
  context_.AnswerHolds(lists);
  context_.Advance(milliseconds(100));
  context_.Commit();
  EXPECT_EQ(context_.LastProposedRun(FirstStart().task), 1U);
}

TEST_F(ForeignHeartbeatTest, AnUnknownServiceChangesNoWorkerWithItsId) {
  ASSERT_NO_FATAL_FAILURE(RunTask());
  jobs::WorkerInfo odd = Worker("w");
  odd.service = wire::ServiceId("nobody");
  SendHeartbeat(odd);
  EXPECT_EQ(context_.table().FindWorker(wire::WorkerId("w"))->info.service,
            wire::ServiceId("batch"));
}

TEST_F(ForeignHeartbeatTest, AWorkerIsTakenOnceAManifestNamesItsService) {
  jobs::WorkerInfo early = Worker("early");
  early.service = wire::ServiceId("later");
  SendHeartbeat(early);
  EXPECT_EQ(context_.table().FindWorker(early.boot.id), nullptr);
  jobs::Manifest manifest = context_.table().manifest();
  ++manifest.version;
  manifest.services.push_back(early.service);
  context_.leader->PutManifest(manifest, [](RecordResult) {});
  context_.Commit();
  SendHeartbeat(early);
  EXPECT_NE(context_.table().FindWorker(early.boot.id), nullptr);
}

}  // namespace
}  // namespace sassafras::jobcontrol
