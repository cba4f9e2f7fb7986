#ifndef SRC_ADMISSION_RETRY_BUDGET_H_
#define SRC_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

#include "include/admission/retry_budget_options.h"

namespace papaya {

// Limits retries to a ratio of live traffic, so that retries never turn a
// failure into an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options)
      : options_(options),
        retries_(std::min(options.initial_retries, options.max_retries)) {}

  // Saved retries beyond the new limit are lost.
  void SetOptions(const RetryBudgetOptions& options) {
    options_ = options;
    retries_ = std::min(retries_, options_.max_retries);
  }

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
