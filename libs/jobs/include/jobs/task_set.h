// The tasks of one step. Only what differs from a task that has never been
// started takes memory.

#ifndef JOBS_TASK_SET_H_
#define JOBS_TASK_SET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/crash.h"
#include "jobs/types.h"
#include "wire/array_json.h"

namespace sassafras::jobs {

struct TaskRecord {
  uint64_t run = 0;  // number of the last run started; numbers only increase
  bool is_done = false;
  bool is_open = false;  // `run` may still occupy a worker
  uint32_t failures = 0;
  std::string checkpoint;  // unused for gangs; see StepRecord::checkpoint
  // The end of `run` was presumed and may yet be reported.
  bool is_end_presumed = false;
  Crashes crashes;
  // The last copy, a run that was started beside `run`, if it is higher; 0 if
  // there was none. While the copy is open, `run` is open too. When `run` ends
  // first without being done, the copy takes its place.
  uint64_t copy = 0;
  bool is_copy_open = false;

  // Returns the number of the next run.
  uint64_t NextRun() const;
  // Whether a copy of `run` may be started: one for each run, and none of a
  // copy.
  bool MayHaveCopy(const StepSpec& spec) const;
  // Whether the task is done and none of its runs is open any more. Nothing of
  // it but that matters from then on.
  bool IsOver() const { return is_done && !is_open && !is_copy_open; }
};
WIRE_DEFINE_ARRAY(TaskRecord,
                  run,
                  is_done,
                  is_open,
                  failures,
                  checkpoint,
                  is_end_presumed,
                  crashes,
                  copy,
                  is_copy_open)

// Not thread-safe. Indices must be below size().
class TaskSet {
 public:
  TaskSet() = default;
  // Creates `count` tasks that have never been started.
  explicit TaskSet(uint32_t count) : size_(count) {}

  uint32_t size() const { return size_; }
  // Returns the state of a task. Of one that is over only `is_done` is kept.
  // The reference is valid until the task changes.
  const TaskRecord& operator[](uint32_t index) const;
  // Returns the task's record, which the caller changes. Must be followed by
  // Settle(). Other records stay where they are.
  TaskRecord& Change(uint32_t index);
  // Releases the record of the task if that is over or was never started.
  void Settle(uint32_t index);
  // Marks all tasks as done, as the members of a gang are at once.
  void FinishAll();

  // Tasks that have been started and aren't over.
  const std::map<uint32_t, TaskRecord>& started() const { return started_; }
  // Returns the number of tasks that are done.
  uint32_t CountDone() const;
  // Returns the number of tasks that are done and have an open run.
  uint32_t CountSurplus() const;

  friend void to_json(nlohmann::json& value, const TaskSet& tasks);
  // Also reads the list of all tasks that earlier versions wrote.
  friend void from_json(const nlohmann::json& value, TaskSet& tasks);

 private:
  bool IsOver(uint32_t index) const;
  void MarkOver(uint32_t index);

  uint32_t size_ = 0;
  std::map<uint32_t, TaskRecord> started_;
  // Tasks that are over; none of them is in `started_`. Empty while there are
  // none, and once all are.
  std::vector<bool> over_;
  uint32_t over_count_ = 0;
};

}  // namespace sassafras::jobs

#endif  // JOBS_TASK_SET_H_
