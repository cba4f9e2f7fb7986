#ifndef SRC_ADMISSION_PROVEN_PARTS_H_
#define SRC_ADMISSION_PROVEN_PARTS_H_

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Remembers the prompt parts that upstreams have lately served, and when. Of
// more than kCapacity parts, the ones that were served longest ago are
// forgotten first.
class ProvenParts {
 public:
  static constexpr size_t kCapacity = 4096;

  // Parts are remembered for at least `lifetime`, at most twice as long.
  explicit ProvenParts(Duration lifetime) : lifetime_(lifetime) {}

  void Add(PromptPartId part, TimePoint now);
  std::optional<TimePoint> Find(PromptPartId part) const;
  void OnTick(TimePoint now);

  size_t size() const { return recent_.size() + older_.size(); }

 private:
  using Times = absl::flat_hash_map<PromptPartId, TimePoint>;

  void Rotate(TimePoint now);

  const Duration lifetime_;
  // Two generations, so that forgetting needs no order of the parts.
  Times recent_;
  Times older_;
  TimePoint rotated_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_PROVEN_PARTS_H_
