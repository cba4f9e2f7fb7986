#include "src/admission/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// A load report clears the leaving state only if it was taken this long after
// the upstream was seen to leave.
constexpr Duration kLeavingMargin = std::chrono::seconds(1);
// How long another router's report of a leaving upstream is valid.
constexpr Duration kPeerLeavingTime = std::chrono::seconds(30);
// A leaving upstream is remembered this long after it was removed, in case it
// is registered again, and is reported to the other routers until then.
constexpr Duration kRemovedLeavingTime = kPeerLeavingTime;
// Backoff after a failure; it doubles with each further failure in a row.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr int kMaxBackoffDoublings = 6;
// How long this router's own observations of an upstream's speed override the
// ejections of other routers.
constexpr Duration kOwnObservationLifetime = std::chrono::seconds(2);
// Seconds until the first token that do not depend on the prompt length.
constexpr double kFirstTokenOverhead = 0.002;
// Shorter prompts give unreliable observations of the speed.
constexpr double kMinPrefillTokens = 64.0;
// Weight of a new observation in the long-term mean.
constexpr double kBaselineSmoothing = 0.01;
// Limits the weight of one observation, so that the mean speed of a kind comes
// from many upstreams.
constexpr double kMaxObservedTokens = 32.0;
// Weight of an answer of a plain service, in tokens. It is low because calls
// differ in length.
constexpr double kServiceAnswerTokens = 2.0;

// The routers that use an upstream probe it in turns, in an order that differs
// between upstreams.
void SetProbeTurn(const std::vector<RouterId>& routers,
                  const RouterId& self,
                  UpstreamState* state) {
  const size_t count = std::max<size_t>(routers.size(), 1);
  const size_t place = static_cast<size_t>(
      std::lower_bound(routers.begin(), routers.end(), self) - routers.begin());
  const uint64_t first = StableHash(state->id.value());
  state->routers = static_cast<int>(count);
  state->probe_turn = static_cast<int>((first + place) % count);
}

// A router reports a recovery only if it had ejected the upstream before and
// has work there now. Other routers may not have noticed the slowness yet.
void UpdateEjectingRouters(const RouterId& router,
                           const UpstreamUse& use,
                           TimePoint now,
                           UpstreamState* state) {
  std::vector<RouterId>& ejecting = state->ejecting_routers;
  auto found = std::find(ejecting.begin(), ejecting.end(), router);
  if (use.ejected && found == ejecting.end()) {
    ejecting.push_back(router);
  }
  if (!use.ejected && use.running > 0 && found != ejecting.end()) {
    ejecting.erase(found);
    state->peer_recovery_time = now;
  }
}

}  // namespace

std::shared_ptr<UpstreamKindSpeed> UpstreamTable::KindOf(
    const UpstreamSpec& spec) {
  std::shared_ptr<UpstreamKindSpeed>& kind =
      kinds_[{{spec.pool, spec.version}, spec.generation}];
  if (kind == nullptr) {
    kind = std::make_shared<UpstreamKindSpeed>();
    kind->number = next_kind_++;
  }
  return kind;
}

int32_t UpstreamTable::Add(const UpstreamSpec& spec) {
  int32_t number = static_cast<int32_t>(states_.size());
  if (unused_.empty()) {
    states_.push_back(std::make_unique<UpstreamState>());
  } else {
    number = unused_.back();
    unused_.pop_back();
  }
  at(number).id = spec.id;
  numbers_[spec.id] = number;
  return number;
}

void UpstreamTable::Apply(const RoutingSnapshot& snapshot, TimePoint now) {
  for (const std::unique_ptr<UpstreamState>& state : states_) {
    if (state->is_routed) {
      state->unrouted_since = now;
    }
    state->is_routed = false;
    state->is_returning = false;
    state->other_routers.clear();
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    const UpstreamSpec& spec = upstream.spec;
    int32_t number = Find(spec.id);
    if (number < 0) {
      number = Add(spec);
    }
    UpstreamState& state = at(number);
    const std::shared_ptr<UpstreamKindSpeed> kind = KindOf(spec);
    if (state.kind != kind) {
      state.speed = UpstreamSpeed();
      state.baseline_decode = 0.0;
      state.kind = kind;
    }
    state.is_routed = true;
    state.region = spec.region;
    state.is_plain = spec.kind == UpstreamKind::kPlainService;
    state.slots = std::max(spec.slots, 1);
    SetProbeTurn(upstream.routers, snapshot.self().id, &state);
  }
  for (const UpstreamSpec* spec : snapshot.returning()) {
    const int32_t number = Find(spec->id);
    if (number >= 0) {
      at(number).is_returning = true;
    }
  }
  ListRouters(snapshot);
  OnTick(now);
}

void UpstreamTable::SetGates(const WarmupLimiter& warmup) {
  for (const std::unique_ptr<UpstreamState>& state : states_) {
    if (state->is_routed) {
      std::shared_ptr<ColdGate> gate = warmup.GateOf(state->id);
      state->gate =
          gate != nullptr ? std::move(gate) : std::make_shared<ColdGate>();
    }
  }
}

void UpstreamTable::SetLimits(const UpstreamLimiter& limiter) {
  for (const std::unique_ptr<UpstreamState>& state : states_) {
    state->limit_gate = state->is_routed ? limiter.GateOf(state->id) : nullptr;
  }
}

bool UpstreamTable::IsUnused(const UpstreamState& state, TimePoint now) {
  const bool is_leaving =
      state.is_leaving && now - state.unrouted_since < kRemovedLeavingTime;
  return !state.is_routed && !state.is_returning && state.running == 0 &&
         !is_leaving && now >= state.closed_until;
}

void UpstreamTable::OnTick(TimePoint now) {
  absl::erase_if(numbers_, [this, now](const auto& item) {
    if (!IsUnused(at(item.second), now)) {
      return false;
    }
    unused_.push_back(item.second);
    at(item.second) = UpstreamState();
    return true;
  });
  // The order of the hash table differs between runs.
  std::sort(unused_.begin(), unused_.end());
  std::erase_if(kinds_,
                [](const auto& item) { return item.second.use_count() == 1; });
}

void UpstreamTable::ListRouters(const RoutingSnapshot& snapshot) {
  routers_.clear();
  absl::flat_hash_map<RouterId, size_t> positions;
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    std::vector<size_t>& others = at(Find(upstream.spec.id)).other_routers;
    for (const RouterId& router : upstream.routers) {
      if (router == snapshot.self().id) {
        continue;
      }
      const auto [found, is_new] =
          positions.try_emplace(router, routers_.size());
      if (is_new) {
        routers_.push_back(router);
      }
      others.push_back(found->second);
    }
  }
}

int32_t UpstreamTable::Find(const UpstreamId& id) const {
  auto found = numbers_.find(id);
  return found == numbers_.end() ? -1 : found->second;
}

void UpstreamTable::ApplyPeers(const PeerTable& peers, TimePoint now) {
  for (const std::unique_ptr<UpstreamState>& state : states_) {
    state->peer_running = 0.0;
    state->peer_prefill = 0.0;
    state->assumed_running = 0.0;
    state->is_ejected_by_any_peer = false;
  }
  peers.ForEach(now, [this, now](const DemandReport& report) {
    for (const UpstreamUse& use : report.upstreams) {
      const int32_t number = Find(use.upstream);
      if (number < 0) {
        continue;
      }
      UpstreamState& state = at(number);
      state.peer_running += use.running;
      state.peer_prefill += static_cast<double>(use.pending_prefill.value());
      state.is_ejected_by_any_peer =
          state.is_ejected_by_any_peer || use.ejected;
      UpdateEjectingRouters(report.router, use, now, &state);
      if (use.leaving) {
        MarkLeavingByPeer(number, now);
      }
    }
  });
  std::vector<double> is_unresponsive;
  for (const RouterId& router : routers_) {
    is_unresponsive.push_back(peers.Find(router, now) == nullptr ? 1.0 : 0.0);
  }
  for (const std::unique_ptr<UpstreamState>& state : states_) {
    const double even_share =
        static_cast<double>(state->slots) / static_cast<double>(state->routers);
    for (size_t router : state->other_routers) {
      state->assumed_running += is_unresponsive[router] * even_share;
    }
  }
}

void UpstreamTable::OnLoadReport(int32_t number,
                                 const LoadReport& report,
                                 TimePoint now) {
  UpstreamState& state = at(number);
  if (report.leaving) {
    MarkLeaving(number, now);
    return;
  }
  const TimePoint taken = now - report.age;
  if (taken > state.leaving_since + kLeavingMargin) {
    state.is_leaving = false;
  }
  if (taken > state.peer_leaving_until - kPeerLeavingTime + kLeavingMargin) {
    state.peer_leaving_until = TimePoint();
  }
}

void UpstreamTable::OnAttemptEnd(int32_t number, bool failed, TimePoint now) {
  UpstreamState& state = at(number);
  if (!failed) {
    state.failures = 0;
    return;
  }
  // Failures during a backoff belong to the same outage and count once.
  if (now < state.backoff_until) {
    return;
  }
  state.backoff_until = now + kInitialBackoff * (1 << state.failures);
  state.failures = std::min(state.failures + 1, kMaxBackoffDoublings);
}

void UpstreamTable::CloseUntil(int32_t number, TimePoint until) {
  UpstreamState& state = at(number);
  state.closed_until = std::max(state.closed_until, until);
}

std::optional<TimePoint> UpstreamTable::AllClosedUntil(
    const std::vector<int32_t>& numbers,
    TimePoint now) const {
  std::optional<TimePoint> first;
  for (int32_t number : numbers) {
    const UpstreamState& state = at(number);
    if (!state.is_routed || state.is_leaving) {
      continue;
    }
    if (now >= state.closed_until) {
      return std::nullopt;
    }
    first = std::min(first.value_or(state.closed_until), state.closed_until);
  }
  return first;
}

void UpstreamTable::OnServiceAnswer(const RequestEntry& entry, TimePoint now) {
  UpstreamState& state = at(entry.upstream);
  const double seconds = ToSeconds(now - entry.dispatched);
  state.speed.decode.Add(seconds, kServiceAnswerTokens, now);
  state.kind->speed.decode.Add(seconds, kServiceAnswerTokens, now);
}

void UpstreamTable::MarkLeaving(int32_t number, TimePoint now) {
  UpstreamState& state = at(number);
  if (!state.is_leaving) {
    state.is_leaving = true;
    state.leaving_since = now;
  }
}

void UpstreamTable::MarkLeavingByPeer(int32_t number, TimePoint now) {
  at(number).peer_leaving_until = now + kPeerLeavingTime;
}

void UpstreamTable::Begin(RequestEntry* entry, TimePoint now) {
  UpstreamState& state = at(entry->upstream);
  entry->dispatched = now;
  entry->has_first_token = false;
  entry->tokens_seen = Tokens();
  entry->tokens_time = now;
  entry->prefill_ahead = state.prefill + state.peer_prefill;
  state.prefill += entry->prefill_tokens;
  ++state.running;
}

void UpstreamTable::End(const RequestEntry& entry) {
  UpstreamState& state = at(entry.upstream);
  --state.running;
  if (!entry.has_first_token) {
    state.prefill = std::max(0.0, state.prefill - entry.prefill_tokens);
  }
}

void UpstreamTable::OnFirstToken(RequestEntry* entry, TimePoint now) {
  if (entry->has_first_token) {
    return;
  }
  UpstreamState& state = at(entry->upstream);
  entry->has_first_token = true;
  entry->tokens_time = now;
  entry->tokens_seen = Tokens(1);
  state.prefill = std::max(0.0, state.prefill - entry->prefill_tokens);
  const double work = entry->prefill_tokens + entry->prefill_ahead;
  if (work < kMinPrefillTokens || state.TotalRunning() > state.slots) {
    return;
  }
  const double elapsed = ToSeconds(now - entry->dispatched);
  const double per_token = std::max(0.0, elapsed - kFirstTokenOverhead) / work;
  const double weight = std::min(work, kMaxObservedTokens);
  state.speed.prefill.Add(per_token, weight, now);
  state.kind->speed.prefill.Add(per_token, weight, now);
}

void UpstreamTable::OnTokens(RequestEntry* entry, Tokens total, TimePoint now) {
  const int64_t fresh = total.value() - entry->tokens_seen.value();
  if (fresh <= 0 || !entry->has_first_token) {
    return;
  }
  UpstreamState& state = at(entry->upstream);
  const double tokens = static_cast<double>(fresh);
  const double per_token = ToSeconds(now - entry->tokens_time) / tokens;
  entry->tokens_seen = total;
  entry->tokens_time = now;
  const double weight = std::min(tokens, kMaxObservedTokens);
  state.speed.decode.Add(per_token, weight, now);
  state.kind->speed.decode.Add(per_token, weight, now);
  if (state.baseline_decode == 0.0) {
    state.baseline_decode = per_token;
  }
  if (!state.IsEjected()) {
    state.baseline_decode +=
        (per_token - state.baseline_decode) * kBaselineSmoothing;
  }
}

double UpstreamTable::CountFree(const std::vector<int32_t>& numbers,
                                TimePoint now) const {
  double free = 0.0;
  for (int32_t number : numbers) {
    const UpstreamState& state = at(number);
    if (state.IsOpen(now) && !state.IsEjected()) {
      free += state.FreeSlots();
    }
  }
  return free;
}

std::vector<int32_t> UpstreamTable::UpdateStragglers(
    const std::vector<int32_t>& numbers,
    TimePoint now) {
  std::vector<StragglerCandidate> candidates;
  std::vector<StragglerState*> states;
  std::vector<bool> before;
  for (int32_t number : numbers) {
    UpstreamState& state = at(number);
    const DecayingMean& decode = state.speed.decode;
    candidates.push_back({state.kind->number,
                          decode.HasEnoughSamples(now) ? decode.value() : 0.0,
                          state.baseline_decode, state.is_ejected_by_any_peer});
    states.push_back(&state.straggler);
    before.push_back(state.straggler.ejected);
  }
  StragglerDetector::Update(candidates, now, &states);
  FollowPeerEjections(numbers, now);
  std::vector<int32_t> changed;
  for (size_t i = 0; i < numbers.size(); ++i) {
    if (states[i]->ejected != before[i]) {
      changed.push_back(numbers[i]);
    }
  }
  return changed;
}

// Own observations override the ejections of other routers.
void UpstreamTable::FollowPeerEjections(const std::vector<int32_t>& numbers,
                                        TimePoint now) {
  size_t ejected = 0;
  for (int32_t number : numbers) {
    ejected += at(number).straggler.ejected ? 1 : 0;
  }
  const size_t limit = StragglerDetector::MaxEjected(numbers.size());
  for (int32_t number : numbers) {
    UpstreamState& state = at(number);
    const bool follows_peer =
        state.is_ejected_by_any_peer && !state.straggler.ejected &&
        now - state.speed.decode.last_update() > kOwnObservationLifetime &&
        ejected < limit;
    if (follows_peer && !state.follows_peer_ejection) {
      state.peer_ejection_time = now;
    }
    state.follows_peer_ejection = follows_peer;
    ejected += follows_peer ? 1 : 0;
  }
}

double UpstreamTable::SecondsOf(const DecayingMean& own,
                                const DecayingMean& kind,
                                double first) const {
  if (!parts_.observed_speed) {
    return first;
  }
  return own.Estimate(parts_.kind_speed ? kind.Estimate(first) : first);
}

double UpstreamTable::PrefillSeconds(const UpstreamState& state) const {
  return SecondsOf(state.speed.prefill, state.kind->speed.prefill,
                   kInitialPrefillSecondsPerToken);
}

double UpstreamTable::DecodeSeconds(const UpstreamState& state) const {
  return SecondsOf(state.speed.decode, state.kind->speed.decode,
                   kInitialDecodeSecondsPerToken);
}

}  // namespace papaya
