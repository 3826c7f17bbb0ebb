// Messages that name a caller, and conversion of job records to the status that
// callers see.

#include "jobcontrol/messages.h"

#include <utility>

namespace sassafras::jobcontrol {
namespace {

constexpr const char* kCallerField = "caller";
constexpr const char* kKeyField = "key";
constexpr const char* kCustomerField = "customer";

}  // namespace

void WriteCaller(const Caller& caller, nlohmann::json& value) {
  if (!caller.is_checked) {
    return;
  }
  nlohmann::json fields = nlohmann::json::object();
  if (caller.key) {
    fields[kKeyField] = *caller.key;
    fields[kCustomerField] = caller.customer;
  }
  value[kCallerField] = std::move(fields);
}

Caller ReadCaller(const nlohmann::json& value) {
  Caller caller;
  const auto fields = value.find(kCallerField);
  if (fields == value.end()) {
    return caller;
  }
  caller.is_checked = true;
  const auto key = fields->find(kKeyField);
  if (key != fields->end()) {
    caller.key = key->get<jobs::KeyDigest>();
    caller.customer = fields->value(kCustomerField, jobs::CustomerId());
  }
  return caller;
}

void to_json(nlohmann::json& value, const JobSubmission& submission) {
  value = submission.job;
  WriteCaller(submission.caller, value);
}

void from_json(const nlohmann::json& value, JobSubmission& submission) {
  submission.job = value.get<jobs::AddJob>();
  submission.caller = ReadCaller(value);
}

void to_json(nlohmann::json& value, const JobQuery& query) {
  value = {{"queue", query.queue}, {"job", query.job}};
  WriteCaller(query.caller, value);
}

void from_json(const nlohmann::json& value, JobQuery& query) {
  query.queue = value.value("queue", jobs::QueueId());
  query.job = value.value("job", wire::JobId());
  query.caller = ReadCaller(value);
}

JobStatus JobStatusOf(const jobs::JobRecord& job) {
  switch (job.phase) {
    case jobs::JobPhase::kCompleted:
      return {true, JobState::kCompleted};
    case jobs::JobPhase::kFailed:
      return {true, JobState::kFailed};
    case jobs::JobPhase::kCancelled:
      return {true, JobState::kCancelled};
    case jobs::JobPhase::kActive:
      break;
  }
  return {true, job.has_started ? JobState::kRunning : JobState::kQueued};
}

}  // namespace sassafras::jobcontrol
