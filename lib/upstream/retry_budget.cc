#include "bamboorack/upstream/retry_budget.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Allows a group with little traffic to retry a single failure.
constexpr double kInitialTokens = 2.0;
// Limits the burst of retries after a period without failures.
constexpr double kMaxTokens = 10.0;

}  // namespace

RetryBudget::RetryBudget(double initial_share)
    : share(initial_share), tokens(share > 0.0 ? kInitialTokens : 0.0) {}

void RetryBudget::SetShare(double new_share) { this->share = new_share; }

void RetryBudget::OnRequest() {
  this->tokens = std::min(kMaxTokens, this->tokens + this->share);
}

bool RetryBudget::TryTake() {
  if (this->tokens < 1.0) return false;
  this->tokens -= 1.0;
  return true;
}

}  // namespace bamboorack::upstream
