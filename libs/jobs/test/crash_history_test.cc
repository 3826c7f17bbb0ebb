// Tests which crashes of other workers speak for a task whose worker crashed.

#include "jobs/crash_history.h"

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(ms));
}

CrashSuspect SuspectOn(const std::string& worker, const TaskKey& task) {
  return {Boot(worker), task, false, At(1000)};
}

TEST(CrashHistoryTest, ACrashAloneKeepsItsRole) {
  CrashHistory history;
  history.Add({Boot("w"), At(1000), {Task("a")}});
  history.Add({Boot("earlier"), At(500), {}});
  history.Add({Boot("later"), At(1500), {}});
  for (const CrashRole role :
       {CrashRole::kNone, CrashRole::kLate, CrashRole::kSole}) {
    EXPECT_EQ(history.Weigh(SuspectOn("w", Task("a")), role), role);
  }
}

// Waves of crashes hit a sound task soon after each of its starts, and its job
// was given up.
TEST(CrashHistoryTest, AWorkerThatNoTaskCanHaveCrashedSpeaksForAllTasks) {
  CrashHistory history;
  history.Add({Boot("w"), At(1000), {Task("a")}});
  history.Add({Boot("idle"), At(1100), {}});
  for (const CrashRole role :
       {CrashRole::kLate, CrashRole::kEarly, CrashRole::kSole}) {
    EXPECT_EQ(history.Weigh(SuspectOn("w", Task("a")), role), CrashRole::kNone);
  }
}

TEST(CrashHistoryTest, AnotherTaskOfTheJobLeavesADoubt) {
  CrashHistory history;
  history.Add({Boot("v"), At(900), {Task("a", 0, 1)}});
  const CrashSuspect suspect = SuspectOn("w", Task("a"));
  EXPECT_EQ(history.Weigh(suspect, CrashRole::kSole), CrashRole::kEarly);
  EXPECT_EQ(history.Weigh(suspect, CrashRole::kLate), CrashRole::kLate);
}

TEST(CrashHistoryTest, AnotherJobMayHaveCrashedTheOtherWorker) {
  CrashHistory history;
  history.Add({Boot("v"), At(1000), {Task("a", 0, 1), Task("b")}});
  EXPECT_EQ(history.Weigh(SuspectOn("w", Task("a")), CrashRole::kSole),
            CrashRole::kSole);
}

TEST(CrashHistoryTest, TheMembersOfAGangCountAsOneTask) {
  CrashHistory history;
  history.Add({Boot("v"), At(1000), {Task("a", 0, 1)}});
  CrashSuspect suspect = SuspectOn("w", Task("a"));
  suspect.is_gang = true;
  EXPECT_EQ(history.Weigh(suspect, CrashRole::kSole), CrashRole::kSole);
}

}  // namespace
}  // namespace sassafras::jobs
