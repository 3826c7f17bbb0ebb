// Keeps records of the tasks that have been started and aren't over.

#include "jobs/task_set.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sassafras::jobs {
namespace {

const TaskRecord& NeverStarted() {
  static const auto* const record = new TaskRecord;
  return *record;
}

const TaskRecord& Over() {
  static const auto* const record = [] {
    auto* over = new TaskRecord;
    over->is_done = true;
    return over;
  }();
  return *record;
}

// Tasks that follow each other and are over.
struct Range {
  uint32_t first = 0;
  uint32_t count = 0;
};
WIRE_DEFINE_ARRAY(Range, first, count)

struct StartedTask {
  uint32_t index = 0;
  TaskRecord record;
};
WIRE_DEFINE_ARRAY(StartedTask, index, record)

}  // namespace

uint64_t TaskRecord::NextRun() const {
  return std::max(run, copy) + 1;
}

bool TaskRecord::MayHaveCopy(const StepSpec& spec) const {
  return spec.may_run_copies && !spec.is_gang && is_open && copy < run;
}

const TaskRecord& TaskSet::operator[](uint32_t index) const {
  if (IsOver(index)) {
    return Over();
  }
  const auto it = started_.find(index);
  return it == started_.end() ? NeverStarted() : it->second;
}

TaskRecord& TaskSet::Change(uint32_t index) {
  const auto [it, is_new] = started_.try_emplace(index);
  if (is_new && IsOver(index)) {
    it->second = Over();
  }
  return it->second;
}

void TaskSet::Settle(uint32_t index) {
  const auto it = started_.find(index);
  if (it == started_.end()) {
    return;
  }
  const bool is_over = it->second.IsOver();
  const bool was_started = it->second.run > 0;
  if (is_over || !was_started) {
    started_.erase(it);
  }
  if (is_over) {
    MarkOver(index);
  }
}

void TaskSet::FinishAll() {
  for (TaskRecord& it : started_ | std::views::values) {
    it.is_done = true;
  }
  for (uint32_t n = 0; n < size_; ++n) {
    if (!started_.contains(n)) {
      MarkOver(n);
    }
  }
  std::erase_if(started_, [this](const auto& entry) {
    const bool is_over = entry.second.IsOver();
    if (is_over) {
      MarkOver(entry.first);
    }
    return is_over;
  });
}

uint32_t TaskSet::CountDone() const {
  const auto done = std::ranges::count_if(started_ | std::views::values,
                                          [](auto& it) { return it.is_done; });
  return over_count_ + static_cast<uint32_t>(done);
}

uint32_t TaskSet::CountSurplus() const {
  return static_cast<uint32_t>(
      std::ranges::count_if(started_ | std::views::values,
                            [](auto& it) { return it.is_done && it.is_open; }));
}

bool TaskSet::IsOver(uint32_t index) const {
  return over_count_ == size_ || (!over_.empty() && over_[index]);
}

void TaskSet::MarkOver(uint32_t index) {
  if (IsOver(index)) {
    return;
  }
  over_.resize(size_);
  over_[index] = true;
  if (++over_count_ == size_) {
    std::vector<bool>().swap(over_);
  }
}

void to_json(nlohmann::json& value, const TaskSet& tasks) {
  std::vector<Range> over;
  for (uint32_t n = 0; n < tasks.size_; ++n) {
    if (!tasks.IsOver(n)) {
      continue;
    }
    if (over.empty() || over.back().first + over.back().count < n) {
      over.push_back({n, 0});
    }
    ++over.back().count;
  }
  std::vector<StartedTask> started;
  for (const auto& [index, record] : tasks.started_) {
    started.push_back({index, record});
  }
  // An object, so that an earlier version refuses what it can't read.
  value = {{"size", tasks.size_}, {"over", over}, {"started", started}};
}

void from_json(const nlohmann::json& value, TaskSet& tasks) {
  if (value.is_array()) {
    auto all = value.get<std::vector<TaskRecord>>();
    tasks = TaskSet(static_cast<uint32_t>(all.size()));
    for (uint32_t n = 0; n < tasks.size_; ++n) {
      const bool is_started = all[n].run > 0 || all[n].is_done;
      if (is_started) {
        tasks.Change(n) = std::move(all[n]);
        tasks.Settle(n);
      }
    }
    return;
  }
  tasks = TaskSet(value.at("size").get<uint32_t>());
  for (const Range& range : value.at("over").get<std::vector<Range>>()) {
    for (uint32_t n = 0; n < range.count && range.first + n < tasks.size_;
         ++n) {
      tasks.MarkOver(range.first + n);
    }
  }
  for (auto& task : value.at("started").get<std::vector<StartedTask>>()) {
    if (task.index < tasks.size_ && !tasks.IsOver(task.index)) {
      tasks.started_.emplace(task.index, std::move(task.record));
    }
  }
}

}  // namespace sassafras::jobs
