#ifndef BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_
#define BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_

namespace bamboorack::upstream {

/// Limits retries to a share of the requests of one group, so that retries do
/// not amplify an overload. A token bucket that is refilled by requests instead
/// of by time.
class RetryBudget {
 public:
  /// `initial_share` is the number of retries allowed for each request, 0 to 1.
  explicit RetryBudget(double initial_share);

  void SetShare(double new_share);
  /// Refills the bucket for one first attempt.
  void OnRequest();
  /// Consumes one retry. Returns false if the budget is exhausted.
  [[nodiscard]] bool TryTake();

 private:
  double share;
  double tokens;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_
