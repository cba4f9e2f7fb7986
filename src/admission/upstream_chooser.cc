#include "src/admission/upstream_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "include/base/stable_hash.h"
#include "src/admission/region_limits.h"

namespace papaya {

namespace {

// Number of upstreams with free slots that are compared, besides those that
// hold a prefix of the prompt.
constexpr size_t kCandidates = 16;
// Interval between two probes of an ejected upstream by all routers that use
// it; and by one router after another router has found the upstream recovered.
constexpr Duration kProbeInterval = std::chrono::seconds(60);
constexpr Duration kShortProbeInterval = std::chrono::seconds(1);
// Additional cost of a cold upstream for each tier above the lowest. It exceeds
// the usual differences between upstreams. Half of it draws requests of the
// lowest tier there.
constexpr double kColdSecondsPerTier = 0.4;

// Requests below this part of the mean cost are short. They go to upstreams
// that have named limits only if more than this part of these may take a
// request.
constexpr double kShortRequest = 0.6;
constexpr double kOpenForShort = 0.5;

// Cost of taking one of the last free slots of `state`. Other routers see the
// same slots and take them before they report it, and a request too many has to
// wait there until another one ends.
double CrowdingSeconds(const PlacementWeights& weights,
                       const UpstreamState& state) {
  return weights.crowding_seconds *
         std::exp(-state.FreeSlots() / weights.crowding_slots);
}

// Earliest time of the next probe of an ejected upstream.
TimePoint NextProbe(const UpstreamState& state) {
  const TimePoint since =
      std::max(state.straggler.ejected_since, state.peer_ejection_time);
  if (state.peer_recovery_time > since) {
    return std::max(state.last_probe, since) + kShortProbeInterval;
  }
  return std::max(state.last_probe + kProbeInterval * state.routers,
                  since + kProbeInterval * (state.probe_turn + 1));
}

bool MayProbe(const RequestEntry& entry,
              const UpstreamState& state,
              TimePoint now) {
  return entry.spec.tier != Tier::kCritical && entry.spec.idempotent &&
         state.running == 0 && now >= NextProbe(state);
}

}  // namespace

double UpstreamChooser::Cached::TokensAt(int32_t upstream) const {
  for (size_t i = 0; i < count; ++i) {
    if (matches[i].upstream == upstream) {
      const size_t blocks = matches[i].blocks;
      return ends != nullptr && !ends->empty()
                 ? static_cast<double>((*ends)[blocks - 1].value())
                 : static_cast<double>(blocks) * tokens_per_block;
    }
  }
  return 0.0;
}

UpstreamChooser::Cached UpstreamChooser::FindCached(
    const RequestEntry& entry) const {
  Cached cached;
  const std::vector<uint64_t>& hashes = entry.spec.prefix_hashes;
  if (hashes.empty() || !parts_.prefix_affinity) {
    return cached;
  }
  cached.count = prefixes_->Find(hashes, &cached.matches);
  cached.ends = &entry.spec.prefix_ends;
  cached.tokens_per_block =
      static_cast<double>(entry.spec.prompt_tokens.value()) /
      static_cast<double>(hashes.size());
  return cached;
}

double UpstreamChooser::EstimateFinish(const RequestEntry& entry,
                                       const UpstreamState& state,
                                       double prefill_tokens) const {
  if (state.is_plain) {
    return upstreams_->DecodeSeconds(state) * (state.TotalRunning() + 1.0) /
           state.slots;
  }
  const double ahead =
      state.prefill + (parts_.peer_prefill ? state.peer_prefill : 0.0);
  double seconds = (ahead + weights_.prefill * prefill_tokens) *
                   upstreams_->PrefillSeconds(state);
  if (parts_.uncached_token_cost) {
    seconds += weights_.prefill_token_seconds * prefill_tokens;
  }
  if (parts_.decode_time) {
    seconds += weights_.decode *
               static_cast<double>(entry.expected_output.value()) *
               upstreams_->DecodeSeconds(state);
  }
  if (parts_.crowding_cost) {
    seconds += CrowdingSeconds(weights_, state);
  }
  return seconds;
}

double UpstreamChooser::ColdSeconds(const RequestEntry& entry,
                                    const UpstreamState& state) const {
  const double tiers_below =
      static_cast<double>(kTierCount - 1 - TierIndex(entry.spec.tier));
  const double prompt = static_cast<double>(entry.spec.prompt_tokens.value());
  return kColdSecondsPerTier * (tiers_below - 0.5) +
         prompt * upstreams_->PrefillSeconds(state);
}

bool UpstreamChooser::MayUseLimits(const RequestEntry& entry,
                                   const GroupState& group,
                                   TimePoint now) const {
  if (entry.cost >= kShortRequest * group.mean_cost ||
      entry.spec.tier == Tier::kCritical) {
    return true;
  }
  int limited = 0;
  int open = 0;
  bool has_other = false;
  const size_t count = std::min(group.upstreams.size(), kCandidates);
  for (size_t i = 0; i < count; ++i) {
    const UpstreamState& state = upstreams_->at(group.upstreams[i]);
    if (!state.IsOpen(now)) {
      continue;
    }
    if (!state.HasLimit()) {
      has_other |= !state.IsClosed(now) && !state.IsEjected();
      continue;
    }
    ++limited;
    open += state.IsLimited(now) ? 0 : 1;
  }
  return !has_other || open > kOpenForShort * limited;
}

void UpstreamChooser::ConsiderClosed(int32_t number, Search* search) const {
  const UpstreamState& state = upstreams_->at(number);
  if (!state.IsOpen(search->now)) {
    return;
  }
  // This router may send there soon.
  if (state.IsLimited(search->now)) {
    search->has_other = true;
    return;
  }
  if (state.gate->send_at != TimePoint::max()) {
    search->has_other = true;
  }
  if (search->now >= state.gate->last_resort_at &&
      state.HasRoom(search->is_contended) && !state.IsEjected()) {
    const double prompt =
        static_cast<double>(search->entry->spec.prompt_tokens.value());
    search->last_resort = {number, prompt, false};
  }
}

void UpstreamChooser::Consider(int32_t number, Search* search) const {
  const UpstreamState& state = upstreams_->at(number);
  const RequestEntry& entry = *search->entry;
  if (search->is_limited && !MayReachRegion(entry.spec, state.region)) {
    return;
  }
  if (state.IsClosed(search->now)) {
    ConsiderClosed(number, search);
    return;
  }
  if (!state.IsOpen(search->now)) {
    return;
  }
  search->has_other = true;
  if (!state.HasRoom(search->is_contended) ||
      (state.HasLimit() && !search->may_use_limits)) {
    return;
  }
  const double prompt = static_cast<double>(entry.spec.prompt_tokens.value());
  const double prefill =
      std::max(0.0, prompt - search->cached.TokensAt(number));
  if (state.IsEjected()) {
    if (MayProbe(entry, state, search->now)) {
      search->best = 0.0;
      search->choice = {number, prefill, true};
    }
    return;
  }
  double finish = EstimateFinish(entry, state, prefill);
  if (state.gate->IsCold(search->now)) {
    finish += ColdSeconds(entry, state);
  }
  if (finish < search->best) {
    search->best = finish;
    search->choice = {number, prefill, false};
  }
}

UpstreamChooser::Choice UpstreamChooser::Choose(const RequestEntry& entry,
                                                const GroupState& group,
                                                TimePoint now) const {
  const std::vector<int32_t>& numbers = group.upstreams;
  Search search;
  if (numbers.empty()) {
    return search.choice;
  }
  search.entry = &entry;
  search.cached = FindCached(entry);
  search.is_contended = group.IsContended();
  search.is_limited = entry.spec.allowed_regions != nullptr;
  search.may_use_limits = MayUseLimits(entry, group, now);
  search.now = now;
  search.best = std::numeric_limits<double>::infinity();
  const size_t start =
      CombineHashes(entry.spec.share_hash, entry.spec.id.value()) %
      numbers.size();
  size_t with_room = 0;
  for (size_t i = 0; i < numbers.size() && with_room < kCandidates; ++i) {
    const int32_t number = numbers[(start + i) % numbers.size()];
    const UpstreamState& state = upstreams_->at(number);
    with_room +=
        state.HasRoom(search.is_contended) && !state.IsClosed(now) &&
                (!search.is_limited || MayReachRegion(entry.spec, state.region))
            ? 1
            : 0;
    Consider(number, &search);
  }
  if (search.choice.upstream < 0 && !search.has_other) {
    search.choice = search.last_resort;
  }
  if (numbers.size() <= kCandidates) {
    return search.choice;
  }
  for (size_t i = 0; i < search.cached.count; ++i) {
    const int32_t holder = search.cached.matches[i].upstream;
    if (std::find(numbers.begin(), numbers.end(), holder) != numbers.end()) {
      Consider(holder, &search);
    }
  }
  return search.choice;
}

}  // namespace papaya
