#ifndef INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_
#define INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_

namespace papaya {

// Limits the retries of one router in one pool.
struct RetryBudgetOptions {
  // Retries earned by each first attempt.
  double retries_per_request = 0.1;
  // Upper limit of saved retries.
  double max_retries = 20.0;
  // Saved retries at the start, at most `max_retries`.
  double initial_retries = 20.0;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_
