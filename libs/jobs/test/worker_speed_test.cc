// Tests the classification of workers by speed.

#include "jobs/worker_speed.h"

#include <string>

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

// Runs one step whose tasks take `times_ms`, one task on each of the workers a,
// b, c and so on.
void RunStep(WorkerSpeed& speed,
             const std::string& job,
             const std::vector<int64_t>& times_ms) {
  const base::Instant started_at(milliseconds(1'000));
  for (uint32_t n = 0; n < times_ms.size(); ++n) {
    const WorkerBoot worker = Boot(std::string(1, static_cast<char>('a' + n)));
    speed.OnStart({Task(job, 0, n), 1, worker}, started_at);
  }
  for (uint32_t n = 0; n < times_ms.size(); ++n) {
    const WorkerBoot worker = Boot(std::string(1, static_cast<char>('a' + n)));
    speed.OnDone({worker, Task(job, 0, n), 1, RunOutcome::kDone, ""},
                 n + 1 == times_ms.size(),
                 started_at + milliseconds(times_ms[n]));
  }
}

// A third of the workers has slower hardware.
TEST(WorkerSpeed, AWorkerSlowerThanOthersOfTheStepIsSlow) {
  WorkerSpeed speed;
  for (int n = 0; n < 40; ++n) {
    RunStep(speed, "j" + std::to_string(n), {700, 700, 700, 910});
  }
  EXPECT_EQ(speed.SpeedOf(Boot("a")), SpeedClass::kNormal);
  EXPECT_EQ(speed.SpeedOf(Boot("d")), SpeedClass::kSlow);
  EXPECT_EQ(speed.SpeedOf(Boot("d", 2)), SpeedClass::kNormal) << "another boot";
}

TEST(WorkerSpeed, AWorkerThatBecameVerySlowCanRecover) {
  WorkerSpeed speed;
  for (int n = 0; n < 40; ++n) {
    RunStep(speed, "j" + std::to_string(n), {700, 700, 700, 4'000});
  }
  EXPECT_EQ(speed.SpeedOf(Boot("d")), SpeedClass::kVerySlow);
  for (int n = 0; n < 40; ++n) {
    RunStep(speed, "k" + std::to_string(n), {700, 700, 700, 700});
  }
  EXPECT_EQ(speed.SpeedOf(Boot("d")), SpeedClass::kNormal);
}

TEST(WorkerSpeed, OneLongRunDoesNotMakeAWorkerSlow) {
  WorkerSpeed speed;
  RunStep(speed, "j", {700, 700, 700, 1'000});
  EXPECT_EQ(speed.SpeedOf(Boot("d")), SpeedClass::kNormal);
}

TEST(WorkerSpeed, IgnoresRunsThatWereNotDone) {
  WorkerSpeed speed;
  for (int n = 0; n < 40; ++n) {
    const std::string job = "j" + std::to_string(n);
    speed.OnStart({Task(job, 0, 9), 1, Boot("d")}, base::Instant());
    speed.OnNotDone({Boot("d"), Task(job, 0, 9), 1, RunOutcome::kStopped, ""});
    RunStep(speed, job, {700, 700, 700});
  }
  EXPECT_EQ(speed.SpeedOf(Boot("d")), SpeedClass::kNormal);
}

}  // namespace
}  // namespace sassafras::jobs
