// Keeps the submissions of the last second.

#include "jobs/submission_rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sassafras::jobs {
namespace {

constexpr base::Duration kWindow = std::chrono::seconds(1);
// More jobs a second than a leader accepts. Bounds the memory of a customer.
constexpr double kMaxCountedWeight = 10'000;
// Longer than this no submission is kept, so that the memory is bounded too
// where weights are close to 0.
constexpr base::Duration kMaxWindow = std::chrono::minutes(1);

base::Duration WindowOf(double weight) {
  if (weight >= 1) {
    return kWindow;
  }
  const std::chrono::duration<double> seconds(1 / weight);
  return seconds >= kMaxWindow
             ? kMaxWindow
             : std::chrono::duration_cast<base::Duration>(seconds);
}

}  // namespace

bool SubmissionRates::IsExcess(const Customer& customer,
                               const wire::JobId& job,
                               base::Instant now) {
  if (customer.weight <= 0 || customer.weight > kMaxCountedWeight) {
    return false;
  }
  DropIdleCustomers(now);
  std::deque<Submission>& recent = submissions_[customer.id];
  const base::Duration window = WindowOf(customer.weight);
  while (!recent.empty() && now - recent.front().at >= window) {
    recent.pop_front();
  }
  if (std::ranges::find(recent, job, &Submission::job) != recent.end()) {
    return false;
  }
  const auto most =
      static_cast<size_t>(std::max(1.0, std::floor(customer.weight)));
  if (recent.size() >= most) {
    return true;
  }
  recent.push_back({now, job});
  return false;
}

void SubmissionRates::Withdraw(const CustomerId& customer,
                               const wire::JobId& job) {
  const auto it = submissions_.find(customer);
  if (it != submissions_.end()) {
    std::erase_if(it->second,
                  [&](const Submission& recent) { return recent.job == job; });
  }
}

void SubmissionRates::DropIdleCustomers(base::Instant now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kMaxWindow;
  std::erase_if(submissions_, [&](const auto& entry) {
    const std::deque<Submission>& recent = entry.second;
    return recent.empty() || now - recent.back().at >= kMaxWindow;
  });
}

}  // namespace sassafras::jobs
