#include <algorithm>
#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

constexpr int32_t kNoAge = -1;
// Bounds the duration of a quarantine that a faulty message asks for.
constexpr int32_t kMaxQuarantines = 64;

std::optional<Duration> FromWireMilliseconds(int32_t age_ms) {
  if (age_ms < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(age_ms);
}

}  // namespace

fb::PayloadUnion EncodeCrashNews(const CrashNews& news) {
  fb::CrashNewsT encoded;
  for (const PartNews& part : news.parts) {
    auto entry = std::make_unique<fb::PartNewsT>();
    entry->part = part.part.value();
    entry->is_innermost = part.is_innermost;
    for (const PartCrash& crash : part.crashes) {
      entry->crashes.emplace_back(
          crash.crash.value(),
          static_cast<uint32_t>(ToWireMilliseconds(crash.age)));
    }
    entry->proven_age_ms = part.proven_age.has_value()
                               ? ToWireMilliseconds(*part.proven_age)
                               : kNoAge;
    entry->quarantine_age_ms = part.quarantine_age.has_value()
                                   ? ToWireMilliseconds(*part.quarantine_age)
                                   : kNoAge;
    entry->quarantines = part.quarantines;
    entry->is_own = part.is_own;
    encoded.parts.push_back(std::move(entry));
  }
  return MakePayload(std::move(encoded));
}

std::optional<CrashNews> DecodeCrashNews(const fb::PayloadUnion& payload) {
  const fb::CrashNewsT* encoded = payload.AsCrashNews();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  CrashNews news;
  for (const std::unique_ptr<fb::PartNewsT>& entry : encoded->parts) {
    PartNews part;
    part.part = PromptPartId(entry->part);
    part.is_innermost = entry->is_innermost;
    for (const fb::PartCrash& crash : entry->crashes) {
      part.crashes.push_back(
          {.crash = CrashId(crash.crash()),
           .age = std::chrono::milliseconds(crash.age_ms())});
    }
    part.proven_age = FromWireMilliseconds(entry->proven_age_ms);
    part.quarantine_age = FromWireMilliseconds(entry->quarantine_age_ms);
    part.quarantines = std::clamp(entry->quarantines, 0, kMaxQuarantines);
    part.is_own = entry->is_own;
    news.parts.push_back(std::move(part));
  }
  return news;
}

}  // namespace papaya
