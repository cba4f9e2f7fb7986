#ifndef SRC_ADMISSION_RETRY_BUDGET_H_
#define SRC_ADMISSION_RETRY_BUDGET_H_

#include "include/admission/retry_budget_options.h"

namespace papaya {

// Limits retries to a ratio of live traffic, so that retries never turn a
// failure into an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options)
      : options_(options), retries_(options.max_retries) {}

  // Records a first attempt.
  void OnFirstAttempt();

  // Takes one retry from the budget; false if there is none.
  bool Spend();

 private:
  RetryBudgetOptions options_;
  double retries_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_RETRY_BUDGET_H_
