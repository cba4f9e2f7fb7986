#ifndef SRC_ADMISSION_UPSTREAM_CHOOSER_H_
#define SRC_ADMISSION_UPSTREAM_CHOOSER_H_

#include <cstdint>
#include <vector>

#include "include/admission/placement_weights.h"
#include "include/admission/scheduler_parts.h"
#include "include/base/units.h"
#include "include/routing/prefix_index.h"
#include "src/admission/group_state.h"
#include "src/admission/request_entry.h"
#include "src/admission/upstream_table.h"

namespace papaya {

// Chooses the upstream for a request: the one with a free slot where the
// request is estimated to finish first.
class UpstreamChooser {
 public:
  // The pointers must outlive the chooser.
  UpstreamChooser(const SchedulerParts& parts,
                  const PlacementWeights& weights,
                  const UpstreamTable* upstreams,
                  const PrefixIndex* prefixes)
      : parts_(parts),
        weights_(weights),
        upstreams_(upstreams),
        prefixes_(prefixes) {}

  // Result of Choose().
  struct Choice {
    // -1 if no upstream can take the request now.
    int32_t upstream = -1;
    // Prompt tokens that are probably not cached there.
    double prefill_tokens = 0.0;
    // The upstream is ejected and receives the request as a probe.
    bool is_probe = false;
  };

  // Chooses one of the upstreams of `group` for `entry`. If the group is
  // contended, respects the limits from the division of slots among routers.
  Choice Choose(const RequestEntry& entry,
                const GroupState& group,
                TimePoint now) const;

 private:
  // Prefix matches of one prompt, and the tokens of one block.
  struct Cached {
    std::array<PrefixIndex::Match, PrefixIndex::kMaxHolders> matches{};
    size_t count = 0;
    double tokens_per_block = 0.0;
    // RequestSpec::prefix_ends; may be null.
    const std::vector<Tokens>* ends = nullptr;

    double TokensAt(int32_t upstream) const;
  };

  // State of one search.
  struct Search {
    const RequestEntry* entry = nullptr;
    Cached cached;
    bool is_contended = false;
    // The entry is limited to regions.
    bool is_limited = false;
    // The entry may go to upstreams that have named limits.
    bool may_use_limits = true;
    TimePoint now;
    double best = 0.0;
    Choice choice;
    // A cold upstream that may be used if no other one accepts work.
    Choice last_resort;
    bool has_other = false;
  };

  Cached FindCached(const RequestEntry& entry) const;
  void Consider(int32_t number, Search* search) const;
  // Considers an upstream that is cold and gets no request now.
  void ConsiderClosed(int32_t number, Search* search) const;

  // Additional cost in seconds of a cold upstream. It is negative for requests
  // that should go there first.
  double ColdSeconds(const RequestEntry& entry,
                     const UpstreamState& state) const;

  // Returns false if `entry` should leave the upstreams that have named limits
  // to longer requests. A limit counts requests, whereas other upstreams run
  // out of slots, so the requests that hold a slot for long belong where there
  // is a limit.
  bool MayUseLimits(const RequestEntry& entry,
                    const GroupState& group,
                    TimePoint now) const;

  // Estimated cost in seconds of running `entry` there.
  double EstimateFinish(const RequestEntry& entry,
                        const UpstreamState& state,
                        double prefill_tokens) const;

  SchedulerParts parts_;
  PlacementWeights weights_;
  const UpstreamTable* upstreams_;
  const PrefixIndex* prefixes_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_CHOOSER_H_
