#ifndef SRC_ADMISSION_RETRY_BUDGET_H_
#define SRC_ADMISSION_RETRY_BUDGET_H_

namespace papaya {

// Bounds attempts after the first to a share of live traffic, so that retries
// never multiply a failure into an overload.
class RetryBudget {
 public:
  // A first attempt was made.
  void OnFirstAttempt();

  // True, with one retry spent, if the budget allows one.
  bool Spend();

 private:
  // Retries earned by one first attempt.
  static constexpr double kShare = 0.1;
  // The most retries that can be saved up; also what there is at the start.
  static constexpr double kMost = 20.0;

  double retries_ = kMost;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_RETRY_BUDGET_H_
