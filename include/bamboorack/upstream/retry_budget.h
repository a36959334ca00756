#ifndef BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_
#define BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_

namespace bamboorack::upstream {

/// Bounds retries to a share of the requests of one group, so that retries
/// can't multiply an overload. A token bucket that requests fill, not time.
class RetryBudget {
 public:
  /// `initial_share` is the number of retries allowed for each request, 0 to 1.
  explicit RetryBudget(double initial_share);

  void SetShare(double new_share);
  /// Adds the share of one first attempt.
  void OnRequest();
  /// Takes one retry. Returns false if the budget is empty.
  [[nodiscard]] bool TryTake();

 private:
  double share;
  double tokens;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RETRY_BUDGET_H_
