#ifndef SRC_ADMISSION_UPSTREAM_TABLE_H_
#define SRC_ADMISSION_UPSTREAM_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/scheduler_parts.h"
#include "include/admission/upstream_limiter.h"
#include "include/admission/warmup_limiter.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/routing/upstream_reports.h"
#include "src/admission/peer_table.h"
#include "src/admission/request_entry.h"
#include "src/admission/upstream_state.h"

namespace papaya {

// All upstreams that a router uses or still has work at. Each has an index that
// is stable across snapshots.
class UpstreamTable {
 public:
  explicit UpstreamTable(const SchedulerParts& parts) : parts_(parts) {}

  // Adds and updates the upstreams of `snapshot`.
  void Apply(const RoutingSnapshot& snapshot, TimePoint now);

  // Sets the limits on requests to the upstreams while they are cold.
  void SetGates(const WarmupLimiter& warmup);
  void SetLimits(const UpstreamLimiter& limiter);

  UpstreamState& at(int32_t number) {
    return *states_[static_cast<size_t>(number)];
  }
  const UpstreamState& at(int32_t number) const {
    return *states_[static_cast<size_t>(number)];
  }

  // Returns the index of `id`; -1 if it is unknown.
  int32_t Find(const UpstreamId& id) const;

  // Indexes run from 0 to below this; some may be unused.
  size_t size() const { return states_.size(); }

  // Forgets upstreams that the snapshot no longer has. Call at least every few
  // seconds.
  void OnTick(TimePoint now);

  // Recomputes the use of other routers from their reports.
  void ApplyPeers(const PeerTable& peers, TimePoint now);

  // Applies a load report of the upstream itself.
  void OnLoadReport(int32_t number, const LoadReport& report, TimePoint now);

  // Records that an attempt failed or succeeded. Failures in a row start a
  // backoff during which the upstream gets no work.
  void OnAttemptEnd(int32_t number, bool failed, TimePoint now);

  // Stops new work there until `until`, because the upstream asked for it. An
  // earlier, longer wait remains in force.
  void CloseUntil(int32_t number, TimePoint until);

  // Returns the time at which the first of `numbers` accepts work again, if
  // all of those that are not leaving have asked this router to wait.
  // Otherwise returns std::nullopt.
  std::optional<TimePoint> AllClosedUntil(const std::vector<int32_t>& numbers,
                                          TimePoint now) const;

  // Records the time in which a plain service answered `entry`.
  void OnServiceAnswer(const RequestEntry& entry, TimePoint now);

  // Stops new work there until a load report of the upstream, taken later, says
  // that it is not leaving.
  void MarkLeaving(int32_t number, TimePoint now);
  // Stops new work there for a limited time, because another router has
  // reported that the upstream is leaving.
  void MarkLeavingByPeer(int32_t number, TimePoint now);

  // Record the begin and the end of an attempt at its upstream.
  void Begin(RequestEntry* entry, TimePoint now);
  void End(const RequestEntry& entry);

  // Update the observed speed from the progress of an attempt.
  void OnFirstToken(RequestEntry* entry, TimePoint now);
  void OnTokens(RequestEntry* entry, Tokens total, TimePoint now);

  // Free slots of those upstreams in `numbers` that accept new work.
  double CountFree(const std::vector<int32_t>& numbers, TimePoint now) const;

  // Updates the ejections among `numbers`, the upstreams of one group. Returns
  // the upstreams that this router has ejected or reinstated.
  std::vector<int32_t> UpdateStragglers(const std::vector<int32_t>& numbers,
                                        TimePoint now);

  // Seconds for prefilling or decoding one token there.
  double PrefillSeconds(const UpstreamState& state) const;
  double DecodeSeconds(const UpstreamState& state) const;

 private:
  // Combines the upstream's own speed with the speed of its kind.
  double SecondsOf(const DecayingMean& own,
                   const DecayingMean& kind,
                   double first) const;
  void FollowPeerEjections(const std::vector<int32_t>& numbers, TimePoint now);
  // Records which other routers use which upstreams.
  void ListRouters(const RoutingSnapshot& snapshot);
  // True if nothing about the upstream has to be remembered.
  static bool IsUnused(const UpstreamState& state, TimePoint now);
  int32_t Add(const UpstreamSpec& spec);
  std::shared_ptr<UpstreamKindSpeed> KindOf(const UpstreamSpec& spec);

  SchedulerParts parts_;
  std::vector<std::unique_ptr<UpstreamState>> states_;
  std::vector<int32_t> unused_;
  absl::flat_hash_map<UpstreamId, int32_t> numbers_;
  // Kinds without upstreams are removed.
  std::map<std::pair<PoolVersion, GenerationId>,
           std::shared_ptr<UpstreamKindSpeed>>
      kinds_;
  int32_t next_kind_ = 0;
  // Other routers that use any of the upstreams.
  std::vector<RouterId> routers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_TABLE_H_
