// The rules by which a worker runs attempts.

#include "attempt_table.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace sassafras::samples {

namespace {

using wire::AttemptOrder;
using wire::AttemptState;

constexpr int64_t kPercent = 100;

std::string_view KindName(AttemptNote::Kind kind) {
  constexpr std::array<std::string_view, 4> kNames = {"start", "end", "refuse",
                                                      "over-capacity"};
  return kNames[static_cast<size_t>(kind)];
}

}  // namespace

TaskScript TaskScript::Parse(std::string_view payload) {
  TaskScript script;
  const auto value =
      nlohmann::json::parse(payload, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return script;
  }
  const auto run_ms = value.find("run_ms");
  if (run_ms != value.end() && run_ms->is_number_integer()) {
    script.run_time = std::chrono::milliseconds(run_ms->get<int64_t>());
  }
  const auto exit = value.find("exit");
  if (exit != value.end() && *exit == "failed") {
    script.end = AttemptState::kFailed;
  }
  const auto usage = value.find("usage_percent");
  if (usage != value.end() && usage->is_number_integer()) {
    script.usage_percent = usage->get<int64_t>();
  }
  return script;
}

std::string AttemptNote::ToString() const {
  std::string text(KindName(kind));
  text += " task=" + task.ToString();
  text += " attempt=" + std::to_string(attempt.value());
  text += " at=" + std::to_string(at.time_since_epoch().count());
  return reason.empty() ? text : text + " reason=" + reason;
}

std::vector<AttemptNote> AttemptTable::Apply(const wire::WorkerAnswer& answer,
                                             base::Instant sent,
                                             base::Instant now) {
  std::vector<AttemptNote> notes = Advance(now);
  if (answer.is_ended) {
    std::ranges::move(StopAll(now, "ended"), std::back_inserter(notes));
    is_lease_lost_ = true;
  }
  if (answer.lease_ms <= 0 || is_lease_lost_) {
    return notes;
  }
  lease_until_ = std::max(
      lease_until_,
      base::Instant(sent + std::chrono::milliseconds(answer.lease_ms)));
  if (!HasLease(now)) {
    return notes;  // the answer came too late to be of use
  }
  EndUnlisted(answer.commands, now, notes);
  for (const auto& command : answer.commands) {
    ApplyCommand(command, now, notes);
  }
  return notes;
}

void AttemptTable::EndUnlisted(std::span<const wire::AttemptCommand> commands,
                               base::Instant now,
                               std::vector<AttemptNote>& notes) {
  std::set<wire::TaskId> listed;
  std::ranges::transform(commands, std::inserter(listed, listed.end()),
                         &wire::AttemptCommand::task);
  // Ended ones have been reported and are forgotten; running ones are stopped,
  // which the next heartbeat reports.
  std::erase_if(attempts_, [&](const auto& item) {
    return !listed.contains(item.first) &&
           item.second.state != AttemptState::kRunning;
  });
  for (auto& [task, attempt] : attempts_) {
    if (!listed.contains(task)) {
      End(task, attempt, AttemptState::kStopped, now, "unlisted", notes);
    }
  }
}

void AttemptTable::ApplyCommand(const wire::AttemptCommand& command,
                                base::Instant now,
                                std::vector<AttemptNote>& notes) {
  auto& highest = highest_[command.task];
  if (command.attempt < highest) {
    notes.push_back({AttemptNote::Kind::kRefuse, command.task, command.attempt,
                     now, "older"});
    return;
  }
  const auto it = attempts_.find(command.task);
  const bool is_known =
      it != attempts_.end() && it->second.number == command.attempt;
  const bool is_stop = command.order == AttemptOrder::kStop ||
                       command.order == AttemptOrder::kCheckpoint;
  if (is_known && is_stop) {
    End(command.task, it->second, AttemptState::kStopped, now, "ordered",
        notes);
  } else if (is_known) {
    it->second.limit = command.limit;
    it->second.is_throttled = command.order == AttemptOrder::kThrottle;
  } else if (it != attempts_.end()) {
    End(command.task, it->second, AttemptState::kStopped, now, "replaced",
        notes);
  }
  if (!is_known && is_stop) {
    highest = command.attempt;
    attempts_[command.task] = {.number = command.attempt,
                               .state = AttemptState::kStopped,
                               .has_started = false,
                               .reason = "ordered",
                               .started = now,
                               .ended = now};
  } else if (!is_known && command.attempt > highest) {
    highest = command.attempt;
    Start(command, now, notes);
  }
}

void AttemptTable::Start(const wire::AttemptCommand& command,
                         base::Instant now,
                         std::vector<AttemptNote>& notes) {
  CheckCapacity(command, now, notes);
  attempts_[command.task] = {
      .number = command.attempt,
      .is_throttled = command.order == AttemptOrder::kThrottle,
      .limit = command.limit,
      .script = TaskScript::Parse(command.payload),
      .started = now};
  notes.push_back(
      {AttemptNote::Kind::kStart, command.task, command.attempt, now, ""});
}

void AttemptTable::CheckCapacity(const wire::AttemptCommand& command,
                                 base::Instant now,
                                 std::vector<AttemptNote>& notes) const {
  wire::Resources used = command.limit;
  for (const auto& [task, attempt] : attempts_) {
    const bool counts =
        attempt.state == AttemptState::kRunning && task != command.task;
    used += counts ? attempt.limit : wire::Resources{};
  }
  if (!used.FitsIn(capacity_)) {
    notes.push_back({AttemptNote::Kind::kOverCapacity, command.task,
                     command.attempt, now, "capacity"});
  }
}

void AttemptTable::End(const wire::TaskId& task,
                       Attempt& attempt,
                       AttemptState state,
                       base::Instant at,
                       const std::string& why,
                       std::vector<AttemptNote>& notes) {
  if (attempt.state != AttemptState::kRunning) {
    return;
  }
  attempt.state = state;
  attempt.reason = why;
  attempt.ended = at;
  notes.push_back({AttemptNote::Kind::kEnd, task, attempt.number, at, why});
}

std::vector<AttemptNote> AttemptTable::Advance(base::Instant now) {
  std::vector<AttemptNote> notes;
  const base::Instant until = std::min(now, lease_until_);
  for (auto& [task, attempt] : attempts_) {
    const auto& script = attempt.script;
    if (script.run_time && attempt.started + *script.run_time <= until) {
      End(task, attempt, script.end, attempt.started + *script.run_time,
          script.end == AttemptState::kDone ? "done" : "failed", notes);
    }
  }
  if (!HasLease(now) && lease_until_ != base::Instant::min()) {
    std::ranges::move(StopAll(lease_until_, "lease"),
                      std::back_inserter(notes));
    is_lease_lost_ = true;
  }
  return notes;
}

std::vector<AttemptNote> AttemptTable::StopAll(base::Instant now,
                                               const std::string& why) {
  std::vector<AttemptNote> notes;
  for (auto& [task, attempt] : attempts_) {
    End(task, attempt, AttemptState::kStopped, now, why, notes);
  }
  return notes;
}

std::vector<wire::AttemptReport> AttemptTable::Reports(
    base::Instant now) const {
  std::vector<wire::AttemptReport> reports;
  for (const auto& [task, attempt] : attempts_) {
    const bool is_running = attempt.state == AttemptState::kRunning;
    wire::AttemptReport report;
    report.task = task;
    report.attempt = attempt.number;
    report.state = attempt.state;
    report.has_started = attempt.has_started;
    report.reason = attempt.reason;
    const base::Duration ran =
        (is_running ? now : attempt.ended) - attempt.started;
    report.ran_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(ran).count();
    if (is_running) {
      const int64_t wanted = attempt.script.usage_percent;
      const int64_t share =
          attempt.is_throttled ? std::min(wanted, kPercent) : wanted;
      report.usage.milli_cpus = attempt.limit.milli_cpus * share / kPercent;
      report.usage.memory_mib = attempt.limit.memory_mib * share / kPercent;
      report.usage.accelerators = attempt.limit.accelerators;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::optional<base::Instant> AttemptTable::NextEvent() const {
  if (lease_until_ == base::Instant::min() || is_lease_lost_) {
    return std::nullopt;
  }
  base::Instant next = lease_until_;
  for (const auto& [task, attempt] : attempts_) {
    if (attempt.state == AttemptState::kRunning && attempt.script.run_time) {
      next = std::min(
          next, base::Instant(attempt.started + *attempt.script.run_time));
    }
  }
  return next;
}

size_t AttemptTable::Running() const {
  return static_cast<size_t>(
      std::ranges::count_if(attempts_, [](const auto& item) {
        return item.second.state == AttemptState::kRunning;
      }));
}

}  // namespace sassafras::samples
