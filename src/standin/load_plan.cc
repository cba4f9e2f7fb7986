#include "include/standin/load_plan.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr uint64_t kPermilleScale = 1000;
constexpr double kMedianChatTokens = 12;
constexpr double kChatTokensSigma = 0.6;
constexpr int64_t kMaxChatTokens = 64;
// Prompts start with one of a few long prefixes, like the system prompt that
// the requests to one assistant share.
constexpr uint64_t kSharedPrefixes = 4;
constexpr size_t kPrefixBytes = 1024;

bool Draw(Random& random, Permille share) {
  return static_cast<int64_t>(random.Below(kPermilleScale)) < share.value();
}

std::string MakePrompt(const LoadOptions& options,
                       Random& random,
                       LoadKind kind,
                       size_t number) {
  const uint64_t prefix = random.Below(kSharedPrefixes);
  std::string text = absl::StrCat(LoadKindName(kind), " prefix ", prefix, " ");
  text.resize(kPrefixBytes, static_cast<char>('a' + prefix));
  return absl::StrCat(text, " ", options.run, "-", options.seed, "-", number);
}

Tokens DrawTokens(const LoadOptions& options, Random& random, LoadKind kind) {
  if (kind == LoadKind::kReport) {
    return options.report_tokens;
  }
  const double drawn = random.LogNormal(kMedianChatTokens, kChatTokensSigma);
  return Tokens(
      std::clamp<int64_t>(static_cast<int64_t>(drawn), 1, kMaxChatTokens));
}

PlannedCall PlanCall(const LoadOptions& options,
                     Random& random,
                     LoadKind kind,
                     size_t number) {
  PlannedCall call;
  call.kind = kind;
  call.router = random.Below(options.routers.size());
  if (kind == LoadKind::kBooking) {
    call.key = absl::StrCat("b-", options.run, "-", options.seed, "-", number);
    call.with_ticket = Draw(random, options.with_ticket);
    return call;
  }
  call.prompt = MakePrompt(options, random, kind, number);
  call.max_tokens = DrawTokens(options, random, kind);
  call.streamed = Draw(random, options.streamed);
  return call;
}

}  // namespace

const char* LoadKindName(LoadKind kind) {
  constexpr std::array<const char*, 3> kNames = {"chat", "report", "booking"};
  return kNames[static_cast<size_t>(kind)];
}

Tier TierOfLoadKind(LoadKind kind) {
  constexpr std::array<Tier, 3> kTiers = {Tier::kInteractive, Tier::kStandard,
                                          Tier::kCritical};
  return kTiers[static_cast<size_t>(kind)];
}

std::vector<PlannedCall> PlanLoad(const LoadOptions& options) {
  std::vector<PlannedCall> plan;
  Random random(options.seed);
  for (const LoadKind kind : kAllLoadKinds) {
    const double rate = options.rates[static_cast<size_t>(kind)];
    if (rate <= 0) {
      continue;
    }
    Duration at = SecondsToDuration(random.Exponential(1.0 / rate));
    while (at < options.duration) {
      PlannedCall call = PlanCall(options, random, kind, plan.size());
      call.at = at;
      plan.push_back(std::move(call));
      at += SecondsToDuration(random.Exponential(1.0 / rate));
    }
  }
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const PlannedCall& a, const PlannedCall& b) { return a.at < b.at; });
  return plan;
}

}  // namespace papaya
