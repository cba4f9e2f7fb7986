#ifndef INCLUDE_ADMISSION_USAGE_MESSAGES_H_
#define INCLUDE_ADMISSION_USAGE_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "include/admission/demand_notice.h"

namespace papaya {

// What was admitted of one account's quota in the last window.
struct AccountUsage {
  // Of the account's name.
  NameHash account;
  double used = 0.0;

  bool operator==(const AccountUsage&) const = default;
};

// A router's own usage, to the router that counts those accounts.
struct UsageReport {
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageReport&) const = default;
};

// The answer: the usage of all the other routers.
struct UsageTotals {
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageTotals&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_USAGE_MESSAGES_H_
