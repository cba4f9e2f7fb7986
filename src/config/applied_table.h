#ifndef SRC_CONFIG_APPLIED_TABLE_H_
#define SRC_CONFIG_APPLIED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/config_messages.h"
#include "include/config/fleet_view.h"
#include "include/config/revision_report.h"

namespace papaya {

// The revisions that other routers said to have in force, by RouterKey, and
// which of them are still to be told on.
class AppliedTable {
 public:
  // Keys of routers not in the view that are kept for a while, as their
  // membership may be about to arrive.
  static constexpr size_t kMaxUnknown = 1024;
  static constexpr Duration kUnknownLifetime = std::chrono::seconds(30);

  // Follows the view: routers that left it are forgotten.
  void OnView(const FleetView& view, TimePoint now);

  // Takes `revision` for `key` if it is higher, and tells it on.
  void Learn(uint64_t key, Revision revision, TimePoint now);
  void Learn(const AppliedNews& news, TimePoint now);

  // What was learnt since the last call, in as few groups as possible.
  AppliedNews TakeNews();

  // All of it.
  AppliedNews All() const;

  // A digest of what is known of the routers in the view.
  uint64_t hash() const { return hash_; }

  // 0 if nothing is known.
  Revision Find(uint64_t key) const;

 private:
  struct Unknown {
    Revision revision;
    TimePoint learnt;
  };

  void Set(uint64_t key, Revision revision);
  void DropOldUnknown(TimePoint now);

  // Routers of the view; 0 for those nothing is known of.
  absl::flat_hash_map<uint64_t, Revision> revisions_;
  absl::flat_hash_map<uint64_t, Unknown> unknown_;
  absl::flat_hash_set<uint64_t> news_;
  uint64_t hash_ = 0;
};

}  // namespace papaya

#endif  // SRC_CONFIG_APPLIED_TABLE_H_
