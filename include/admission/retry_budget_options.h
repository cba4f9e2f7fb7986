#ifndef INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_
#define INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_

namespace papaya {

// How many attempts after the first one router may make.
struct RetryBudgetOptions {
  // Retries earned by one first attempt.
  double retries_per_request = 0.1;
  // The most retries that can be saved up; also what there is at the start.
  double max_retries = 20.0;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_RETRY_BUDGET_OPTIONS_H_
