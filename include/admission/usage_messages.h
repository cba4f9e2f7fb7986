#ifndef INCLUDE_ADMISSION_USAGE_MESSAGES_H_
#define INCLUDE_ADMISSION_USAGE_MESSAGES_H_

#include <vector>

#include "include/admission/demand_notice.h"
#include "include/base/ids.h"

namespace papaya {

// A figure about the quota of one account.
struct AccountUsage {
  // Of the account's name.
  NameHash account;
  double amount = 0.0;

  bool operator==(const AccountUsage&) const = default;
};

// What a process has spent of each account's quota since its start, to the
// router that counts those accounts.
struct UsageReport {
  // Of the reporting process.
  Incarnation incarnation;
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageReport&) const = default;
};

// The answer: what is left of each of these quotas; below zero if too much was
// spent.
struct UsageTotals {
  std::vector<AccountUsage> accounts;

  bool operator==(const UsageTotals&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_USAGE_MESSAGES_H_
