#include "include/gateway/store_era.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr int kRevisionBits = 48;
// Longer texts are cut in events.
constexpr size_t kMaxShown = 64;

}  // namespace

ObjectVersion MakeObjectVersion(StoreEra era, uint64_t revision) {
  return ObjectVersion((std::min(era.value(), kMaxStoreEra) << kRevisionBits) +
                       std::min(revision, kMaxStoreRevision));
}

StoreEra EraOf(ObjectVersion version) {
  return StoreEra(version.value() >> kRevisionBits);
}

uint64_t RevisionOf(ObjectVersion version) {
  return version.value() & kMaxStoreRevision;
}

bool StoreEraTracker::Accepts(std::optional<StoreEra> era,
                              const std::string& text,
                              TimePoint sent,
                              TimePoint now) {
  if (!era.has_value()) {
    // A store without eras never names one.
    if (era_.has_value() || !text.empty()) {
      ReportOnce(&is_unreadable_reported_, text);
    }
    return true;
  }
  if (!era_.has_value()) {
    era_ = era;
    since_ = now;
    return true;
  }
  if (*era < *era_) {
    if (sent < since_) {
      return false;
    }
    ReportOnce(&is_decrease_reported_, text);
  }
  if (*era != *era_) {
    Change(*era, now);
  }
  return true;
}

void StoreEraTracker::Change(StoreEra era, TimePoint now) {
  event_({EventId::kStoreRestored,
          {{"from", absl::StrCat(era_->value())},
           {"to", absl::StrCat(era.value())}}});
  era_ = era;
  since_ = now;
}

void StoreEraTracker::ReportOnce(bool* is_reported, const std::string& text) {
  if (!*is_reported) {
    *is_reported = true;
    event_({EventId::kStoreEraRefused,
            {{"found", text.substr(0, kMaxShown)},
             {"known", absl::StrCat(era().value())}}});
  }
}

}  // namespace papaya
