#ifndef SRC_ADMISSION_UPSTREAM_TABLE_H_
#define SRC_ADMISSION_UPSTREAM_TABLE_H_

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/scheduler_parts.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/routing/upstream_news.h"
#include "src/admission/peer_table.h"
#include "src/admission/request_entry.h"
#include "src/admission/upstream_state.h"

namespace papaya {

// All upstreams that a router uses, or still has work at, by a number that
// stays the same over snapshots.
class UpstreamTable {
 public:
  explicit UpstreamTable(const SchedulerParts& parts) : parts_(parts) {}

  // Takes over the upstreams of `snapshot`.
  void Apply(const RoutingSnapshot& snapshot);

  UpstreamState& at(int32_t number) {
    return *states_[static_cast<size_t>(number)];
  }
  const UpstreamState& at(int32_t number) const {
    return *states_[static_cast<size_t>(number)];
  }

  // The number of `id`; -1 if it is not known.
  int32_t Find(const UpstreamId& id) const;

  // Numbers run from 0 to below this; some may be unused.
  size_t size() const { return states_.size(); }

  // Works out anew what the reports of other routers say.
  void ApplyPeers(const PeerTable& peers, TimePoint now);

  // Takes in what an upstream says of itself.
  void OnLoadReport(int32_t number, const LoadReport& report, TimePoint now);

  // An attempt there failed, or succeeded: after failures in a row no work goes
  // there for a while.
  void OnAttemptEnd(int32_t number, bool failed, TimePoint now);

  // A plain service answered `entry`.
  void OnServiceAnswer(const RequestEntry& entry, TimePoint now);

  // No new work goes there, until the upstream itself says otherwise in a
  // report taken later, or the configuration drops it.
  void MarkLeaving(int32_t number, TimePoint now);
  // The same, for some time, because another router has seen it.
  void MarkLeavingByPeer(int32_t number, TimePoint now);

  // Counts an attempt that begins, and one that ends, at its upstream.
  void Begin(RequestEntry* entry, TimePoint now);
  void End(const RequestEntry& entry);

  // Learn from the progress of an attempt.
  void OnFirstToken(RequestEntry* entry, TimePoint now);
  void OnTokens(RequestEntry* entry, Tokens total, TimePoint now);

  // Free slots of those of `numbers` that new work may go to.
  double CountFree(const std::vector<int32_t>& numbers, TimePoint now) const;

  // Looks for stragglers among `numbers`, the upstreams of one group; gives
  // those that were set aside or taken back by this.
  std::vector<int32_t> UpdateStragglers(const std::vector<int32_t>& numbers,
                                        TimePoint now);

  // Seconds that prefilling and decoding a token take there.
  double PrefillSeconds(const UpstreamState& state) const;
  double DecodeSeconds(const UpstreamState& state) const;

 private:
  // What `own` shows, drawn towards the speed of its kind.
  double SecondsOf(const SpeedMean& own,
                   const SpeedMean& kind,
                   double first) const;
  void FollowPeerEjections(const std::vector<int32_t>& numbers, TimePoint now);
  // Notes which other routers use which upstreams.
  void ListRouters(const RoutingSnapshot& snapshot);
  int32_t Add(const UpstreamSpec& spec);
  std::shared_ptr<UpstreamKindSpeed> KindOf(const UpstreamSpec& spec);

  SchedulerParts parts_;
  std::vector<std::unique_ptr<UpstreamState>> states_;
  std::vector<int32_t> unused_;
  absl::flat_hash_map<UpstreamId, int32_t> numbers_;
  // Those that no upstream has any more are dropped.
  std::map<std::pair<PoolVersion, GenerationId>,
           std::shared_ptr<UpstreamKindSpeed>>
      kinds_;
  int32_t next_kind_ = 0;
  // The other routers that use any of the upstreams.
  std::vector<RouterId> routers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_TABLE_H_
