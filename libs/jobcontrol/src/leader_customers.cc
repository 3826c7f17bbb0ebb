// What the leader decides and reports about customers: whether their caps allow
// their jobs, and what the customers use.

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "jobcontrol/leader.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

// The cap is raised by the operator, if at all.
constexpr base::Duration kCapRetryAfter = std::chrono::seconds(30);
constexpr auto kCustomerReportPeriod = std::chrono::seconds(1);

// Returns what the step's tasks need that must run at the same time.
jobs::Resources NeedAtOnce(const jobs::StepSpec& step) {
  return jobs::Times(step.need, step.is_gang ? step.count : 1);
}

bool ExceedsCap(const jobs::Resources& need, const jobs::Resources& cap) {
  return std::ranges::any_of(jobs::kResourceKinds, [&](const auto kind) {
    return cap.*kind > 0 && need.*kind > cap.*kind;
  });
}

}  // namespace

// Two customers may submit under one id at the same time. The table ignores the
// later of the two, so only the record tells whose job it is.
RecordDone Leader::CheckOwner(const jobs::AddJob& job, RecordDone done) const {
  if (!context_.table().index().HasCustomers()) {
    return done;
  }
  return [&table = context_.table(), id = job.id, customer = job.customer,
          queue = job.queue, done = std::move(done)](RecordResult result) {
    const jobs::JobRecord* recorded =
        result == RecordResult::kRecorded ? table.FindJob(id) : nullptr;
    if (recorded == nullptr || recorded->customer == customer) {
      done(result);
      return;
    }
    Decision("call-denied")
        .With("reason", "id-in-use")
        .With("customer", customer)
        .With("queue", queue)
        .With("job", id)
        .Write();
    done(RecordResult::kTaken);
  };
}

// A step above the cap could never start.
std::optional<Refusal> Leader::CapRefusalOf(const jobs::AddJob& job) const {
  const jobs::Customer* customer = context_.table().FindCustomer(job.customer);
  if (customer == nullptr) {
    return std::nullopt;
  }
  const auto step =
      std::ranges::find_if(job.spec.steps, [&](const jobs::StepSpec& it) {
        return ExceedsCap(NeedAtOnce(it), customer->cap);
      });
  if (step == job.spec.steps.end()) {
    return std::nullopt;
  }
  const jobs::Resources need = NeedAtOnce(*step);
  Decision("cap-too-small")
      .With("job", job.id)
      .With("customer", customer->id)
      .With("step", step - job.spec.steps.begin())
      .With("cpu_milli", need.cpu_milli)
      .With("mem_mb", need.mem_mb)
      .With("accelerators", need.accelerators)
      .With("cap_cpu_milli", customer->cap.cpu_milli)
      .With("cap_mem_mb", customer->cap.mem_mb)
      .With("cap_accelerators", customer->cap.accelerators)
      .Write();
  return Refusal{"cap-too-small", kCapRetryAfter};
}

void Leader::LogJob(const jobs::JobRecord& job) {
  Decision line("job");
  line.With("job", job.id).With("queue", job.queue);
  if (!job.customer.empty()) {
    line.With("customer", job.customer).With("excess", job.is_excess);
  }
  line.Write();
}

void Leader::ReportCustomers() {
  const base::Instant now = context_.Now();
  if (now < next_customer_report_) {
    return;
  }
  next_customer_report_ = now + kCustomerReportPeriod;
  metrics_.customers->Set(context_.table());
}

}  // namespace sassafras::jobcontrol
