// Estimates round trips and the share of calls without an answer.

#include "jobs/reply_limit.h"

#include <cmath>

namespace sassafras::jobs {
namespace {

// Of a worker that has answered nothing yet: a new leader calls all workers at
// once, which takes it longer than later calls.
constexpr base::Duration kInitial = std::chrono::milliseconds(200);
// The weights of a new sample and the factor of the deviation are those of RFC
// 6298.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;
constexpr uint32_t kMaxDoublings = 2;  // from kMin to kMax

constexpr double kHighLoss = 0.02;
// Fewer unanswered calls are no evidence.
constexpr double kMinUnanswered = 4;
// The time after which a call counts half.
constexpr std::chrono::duration<double> kHalfLife = std::chrono::seconds(2);

}  // namespace

base::Duration ReplyLimit::Get() const {
  const base::Duration measured =
      mean_
          ? std::chrono::ceil<base::Duration>(*mean_ + kDeviations * deviation_)
          : kInitial;
  const int64_t factor = 1 << std::min(unanswered_, kMaxDoublings);
  return std::min(std::max(measured, kMin) * factor, kMax);
}

void ReplyLimit::OnAnswer(base::Duration round_trip) {
  unanswered_ = 0;
  const Microseconds sample = round_trip;
  if (!mean_) {
    mean_ = sample;
    deviation_ = sample / 2;
    return;
  }
  const Microseconds error = sample - *mean_;
  deviation_ += kDeviationWeight * (std::chrono::abs(error) - deviation_);
  *mean_ += kMeanWeight * error;
}

void ReplyLimit::OnNoAnswer() {
  ++unanswered_;
}

void CallLoss::Add(const CallCounts& calls, base::Instant now) {
  if (calls.answered == 0 && calls.unanswered == 0) {
    return;
  }
  const double keeps = std::exp2((last_ - now) / kHalfLife);
  last_ = now;
  answered_ = answered_ * keeps + calls.answered;
  unanswered_ = unanswered_ * keeps + calls.unanswered;
}

bool CallLoss::IsHigh() const {
  return unanswered_ >= kMinUnanswered &&
         unanswered_ >= kHighLoss * (answered_ + unanswered_);
}

}  // namespace sassafras::jobs
