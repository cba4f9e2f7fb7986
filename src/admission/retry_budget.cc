#include "src/admission/retry_budget.h"

#include <algorithm>

namespace papaya {

void RetryBudget::OnFirstAttempt() {
  retries_ =
      std::min(retries_ + options_.retries_per_request, options_.max_retries);
}

bool RetryBudget::Spend() {
  if (retries_ < 1.0) {
    return false;
  }
  retries_ -= 1.0;
  return true;
}

}  // namespace papaya
