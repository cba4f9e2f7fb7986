#include "src/admission/upstream_chooser.h"

#include <algorithm>
#include <limits>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Candidates with room that are looked at, besides those that hold a prefix.
constexpr size_t kCandidates = 16;
// Time between two probes of an upstream that is set aside, by all the routers
// that use it; and by one, once another has found it recovered.
constexpr Duration kProbeInterval = std::chrono::seconds(60);
constexpr Duration kShortProbeInterval = std::chrono::seconds(1);
// Weight of the prompt tokens that have to be worked through: they hold up the
// prompts that come after them, too.
constexpr double kPrefillWeight = 3.0;
// Weight of the time after the first token, which nobody waits for idly.
constexpr double kDecodeWeight = 0.02;

bool MayProbe(const RequestEntry& entry,
              const UpstreamState& state,
              TimePoint now) {
  const Duration interval = state.is_cleared_by_peer
                                ? kShortProbeInterval
                                : kProbeInterval * state.routers;
  const TimePoint last =
      std::max(state.last_probe, state.straggler.set_aside_since);
  return entry.spec.tier != Tier::kCritical && entry.spec.idempotent &&
         state.running == 0 && now - last >= interval;
}

}  // namespace

double UpstreamChooser::Cached::TokensAt(int32_t upstream) const {
  for (size_t i = 0; i < count; ++i) {
    if (matches[i].upstream == upstream) {
      return static_cast<double>(matches[i].blocks) * tokens_per_block;
    }
  }
  return 0.0;
}

UpstreamChooser::Cached UpstreamChooser::FindCached(
    const RequestEntry& entry) const {
  Cached cached;
  const std::vector<uint64_t>& hashes = entry.spec.prefix_hashes;
  if (hashes.empty()) {
    return cached;
  }
  cached.count = prefixes_->Find(hashes, &cached.matches);
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
  const double first_token =
      (state.prefill + state.peer_prefill + kPrefillWeight * prefill_tokens) *
      upstreams_->PrefillSeconds(state);
  const double rest = static_cast<double>(entry.expected_output.value()) *
                      upstreams_->DecodeSeconds(state);
  return first_token + kDecodeWeight * rest;
}

void UpstreamChooser::Consider(const RequestEntry& entry,
                               const Cached& cached,
                               int32_t number,
                               bool is_contended,
                               TimePoint now,
                               double* best,
                               Choice* choice) const {
  const UpstreamState& state = upstreams_->at(number);
  if (!state.IsOpen(now) || !state.HasRoom(is_contended)) {
    return;
  }
  const double prompt = static_cast<double>(entry.spec.prompt_tokens.value());
  const double prefill = std::max(0.0, prompt - cached.TokensAt(number));
  if (state.IsSetAside()) {
    if (MayProbe(entry, state, now)) {
      *best = 0.0;
      *choice = {number, prefill, true};
    }
    return;
  }
  const double finish = EstimateFinish(entry, state, prefill);
  if (finish < *best) {
    *best = finish;
    *choice = {number, prefill, false};
  }
}

UpstreamChooser::Choice UpstreamChooser::Choose(
    const RequestEntry& entry,
    const std::vector<int32_t>& numbers,
    bool is_contended,
    TimePoint now) const {
  Choice choice;
  if (numbers.empty()) {
    return choice;
  }
  double best = std::numeric_limits<double>::infinity();
  const Cached cached = FindCached(entry);
  const size_t start =
      CombineHashes(entry.spec.share_hash, entry.spec.id.value()) %
      numbers.size();
  size_t with_room = 0;
  for (size_t i = 0; i < numbers.size() && with_room < kCandidates; ++i) {
    const int32_t number = numbers[(start + i) % numbers.size()];
    with_room += upstreams_->at(number).HasRoom(is_contended) ? 1 : 0;
    Consider(entry, cached, number, is_contended, now, &best, &choice);
  }
  if (numbers.size() <= kCandidates) {
    return choice;
  }
  for (size_t i = 0; i < cached.count; ++i) {
    const int32_t holder = cached.matches[i].upstream;
    if (std::find(numbers.begin(), numbers.end(), holder) != numbers.end()) {
      Consider(entry, cached, holder, is_contended, now, &best, &choice);
    }
  }
  return choice;
}

}  // namespace papaya
