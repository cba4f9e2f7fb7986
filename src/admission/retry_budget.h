#ifndef SRC_ADMISSION_RETRY_BUDGET_H_
#define SRC_ADMISSION_RETRY_BUDGET_H_

#include "include/admission/retry_budget_options.h"

namespace papaya {

// Bounds attempts after the first to a share of live traffic, so that retries
// never multiply a failure into an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options)
      : options_(options), retries_(options.max_retries) {}

  // A first attempt was made.
  void OnFirstAttempt();

  // True, with one retry spent, if the budget allows one.
  bool Spend();

 private:
  RetryBudgetOptions options_;
  double retries_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_RETRY_BUDGET_H_
