#include <cmath>
#include <utility>
#include <vector>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

std::vector<fb::AccountUsage> EncodeUsage(
    const std::vector<AccountUsage>& accounts) {
  std::vector<fb::AccountUsage> encoded;
  encoded.reserve(accounts.size());
  for (const AccountUsage& usage : accounts) {
    encoded.emplace_back(usage.account.value(), usage.amount);
  }
  return encoded;
}

// Empty if a figure is out of range.
std::optional<std::vector<AccountUsage>> DecodeUsage(
    const std::vector<fb::AccountUsage>& encoded) {
  std::vector<AccountUsage> accounts;
  accounts.reserve(encoded.size());
  for (const fb::AccountUsage& usage : encoded) {
    if (!std::isfinite(usage.amount())) {
      return std::nullopt;
    }
    accounts.push_back(
        {.account = NameHash(usage.account()), .amount = usage.amount()});
  }
  return accounts;
}

}  // namespace

fb::PayloadUnion EncodeUsageMessage(const UsageReport& report) {
  fb::UsageReportT encoded;
  encoded.incarnation = report.incarnation.value();
  encoded.accounts = EncodeUsage(report.accounts);
  return MakePayload(std::move(encoded));
}

fb::PayloadUnion EncodeUsageMessage(const UsageTotals& totals) {
  fb::UsageTotalsT encoded;
  encoded.accounts = EncodeUsage(totals.accounts);
  return MakePayload(std::move(encoded));
}

std::optional<PeerMessage> DecodeUsageMessage(const fb::PayloadUnion& payload) {
  const fb::UsageReportT* report = payload.AsUsageReport();
  const fb::UsageTotalsT* totals = payload.AsUsageTotals();
  if (report == nullptr && totals == nullptr) {
    return std::nullopt;
  }
  std::optional<std::vector<AccountUsage>> accounts =
      DecodeUsage(report != nullptr ? report->accounts : totals->accounts);
  if (!accounts.has_value()) {
    return std::nullopt;
  }
  if (report != nullptr) {
    return UsageReport{.incarnation = Incarnation(report->incarnation),
                       .accounts = std::move(*accounts)};
  }
  return UsageTotals{.accounts = std::move(*accounts)};
}

}  // namespace papaya
