#ifndef INCLUDE_ADMISSION_USAGE_MESSAGES_H_
#define INCLUDE_ADMISSION_USAGE_MESSAGES_H_

#include <vector>

#include "include/admission/demand_notice.h"
#include "include/base/ids.h"

namespace papaya {

// A token amount for the quota of one account.
struct AccountUsage {
  // Hash of the account's name.
  NameHash account;
  double amount = 0.0;

  bool operator==(const AccountUsage&) const = default;
};

// The tokens that a process has spent of each account's quota since its start.
// Sent to the router that owns the accounts' buckets.
struct UsageReport {
  // Incarnation of the reporting process.
  Incarnation incarnation;
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageReport&) const = default;
};

// Answer to a UsageReport: the tokens left of each quota; negative if too much
// was spent.
struct UsageTotals {
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageTotals&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_USAGE_MESSAGES_H_
