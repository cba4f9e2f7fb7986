#ifndef INCLUDE_GATEWAY_STORE_ERA_H_
#define INCLUDE_GATEWAY_STORE_ERA_H_

#include <cstdint>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

// The platform's store may come back from a copy that is some seconds old.
// Revisions go back then and are given out again, and the era of the store
// rises by one. An ObjectVersion holds the era above the revision, so that all
// of a later era are greater: what routers pass to each other of an earlier era
// is older, however high its revision. Era 0 is that of a store that names
// none.

// Eras and revisions beyond these are refused.
inline constexpr uint64_t kMaxStoreEra = (uint64_t{1} << 16) - 1;
inline constexpr uint64_t kMaxStoreRevision = (uint64_t{1} << 48) - 1;

// Greater revisions count as kMaxStoreRevision.
ObjectVersion MakeObjectVersion(StoreEra era, uint64_t revision);
StoreEra EraOf(ObjectVersion version);
uint64_t RevisionOf(ObjectVersion version);

// Follows the era that the answers of the store name, and tells which answers
// are of an earlier one. Does no I/O and reads no clock.
class StoreEraTracker {
 public:
  // Called when the era has changed, and once for each kind of answer whose era
  // can't be used.
  void SetEventHook(EventHook event) { event_ = std::move(event); }

  // Takes the answer to a call made at `sent`. `era` is empty if the answer
  // names none that can be read; `text` is what it says. Returns false if the
  // answer is of an earlier era and must be dropped.
  bool Accepts(std::optional<StoreEra> era,
               const std::string& text,
               TimePoint sent,
               TimePoint now);

  StoreEra era() const { return era_.value_or(StoreEra()); }

 private:
  void Change(StoreEra era, TimePoint now);
  void ReportOnce(bool* is_reported, const std::string& text);

  EventHook event_ = [](const Event&) {};
  std::optional<StoreEra> era_;
  // When the first answer of the era arrived.
  TimePoint since_;
  bool is_unreadable_reported_ = false;
  bool is_decrease_reported_ = false;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_STORE_ERA_H_
