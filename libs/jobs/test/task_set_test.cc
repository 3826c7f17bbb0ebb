// Tests that a task set behaves like a list of records, and that its memory
// follows what has been started.

#include "jobs/task_set.h"

#include <ranges>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table_fixture.h"
#include "wire/codec.h"

namespace sassafras::jobs {
namespace {

bool AreEqual(const TaskSet& tasks, const std::vector<TaskRecord>& naive) {
  return std::ranges::all_of(
      std::views::iota(0U, tasks.size()), [&](uint32_t n) {
        const TaskRecord& expected = naive[n];
        const TaskRecord& it = tasks[n];
        return it.IsOver() == expected.IsOver() &&
               it.is_done == expected.is_done &&
               (expected.IsOver() ||
                (it.run == expected.run && it.is_open == expected.is_open &&
                 it.failures == expected.failures));
      });
}

TaskSet Restored(const TaskSet& tasks) {
  wire::CodecReason why;
  auto restored = wire::DecodeCbor<TaskSet>(wire::EncodeCbor(tasks), why);
  RC_ASSERT(restored.has_value());
  return *std::move(restored);
}

// Starts the task, ends its run, or completes it.
void Step(TaskRecord& task, int step) {
  switch (step) {
    case 0:
      task.run += task.is_done ? 0 : 1;
      task.is_open |= !task.is_done;
      break;
    case 1:
      task.failures += task.is_open && !task.is_done ? 1 : 0;
      task.is_open = false;
      break;
    default:
      task.is_done |= task.run > 0;
  }
}

RC_GTEST_PROP(TaskSetProperty, BehavesLikeAListOfRecords, ()) {
  const auto size = *rc::gen::inRange(1U, 12U);
  TaskSet tasks(size);
  std::vector<TaskRecord> naive(size);
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    const auto index = *rc::gen::inRange(0U, size);
    const int step = *rc::gen::inRange(0, 3);
    Step(tasks.Change(index), step);
    tasks.Settle(index);
    Step(naive[index], step);
    if (*rc::gen::inRange(0, 40) == 0) {
      tasks.FinishAll();
      std::ranges::for_each(naive, [](auto& it) { it.is_done = true; });
    }
    RC_ASSERT(AreEqual(tasks, naive));
    RC_ASSERT(tasks.CountDone() ==
              std::ranges::count(naive, true, &TaskRecord::is_done));
    RC_ASSERT(AreEqual(Restored(tasks), naive));
    // As an earlier version wrote it.
    RC_ASSERT(AreEqual(nlohmann::json(naive).get<TaskSet>(), naive));
    tasks = Restored(tasks);
  }
}

// A job of 10,000 tasks that no worker can hold took as much memory as one
// whose tasks all ran.
TEST(TaskSetTest, OnlyTasksThatRunTakeMemory) {
  TaskSet tasks(10'000);
  EXPECT_TRUE(tasks.started().empty());
  tasks.Change(7).run = 1;
  tasks.Change(7).is_open = true;
  tasks.Settle(7);
  EXPECT_EQ(tasks.started().size(), 1U);
  tasks.Change(7).is_open = false;
  tasks.Change(7).is_done = true;
  tasks.Settle(7);
  EXPECT_TRUE(tasks.started().empty());
  EXPECT_TRUE(tasks[7].is_done);
  EXPECT_FALSE(tasks[8].is_done);
  EXPECT_EQ(tasks.CountDone(), 1U);
  tasks.Change(9);
  tasks.Settle(9);
  EXPECT_TRUE(tasks.started().empty()) << "a report of an unknown run";
}

}  // namespace
}  // namespace sassafras::jobs
