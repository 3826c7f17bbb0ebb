// Token bucket that successful requests refill and retries drain. It keeps
// retries from multiplying the load on a failing service: without successes
// only the accumulated tokens can be spent.

#ifndef ROUTING_SRC_RETRY_BUDGET_H_
#define ROUTING_SRC_RETRY_BUDGET_H_

#include <algorithm>

namespace sassafras::routing {

class RetryBudget {
 public:
  RetryBudget() = default;
  // Each success adds `share` tokens, up to `max_tokens`.
  RetryBudget(double share, double max_tokens)
      : share_(share), max_tokens_(max_tokens) {}

  void SetShare(double share) { share_ = share; }

  void Earn() { tokens_ = std::min(max_tokens_, tokens_ + share_); }

  // Takes one token. Returns false if there is none, so a retry isn't allowed.
  bool Spend() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double share_ = 0;
  double max_tokens_ = 0;
  double tokens_ = 0;  // in [0, max_tokens_]
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_RETRY_BUDGET_H_
