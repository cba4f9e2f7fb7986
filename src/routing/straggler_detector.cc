#include "include/routing/straggler_detector.h"

#include <algorithm>
#include <cassert>

namespace papaya {

namespace {

// Returns the seconds per token expected of `own`: the lower median of the
// known upstreams of its kind, so that of two upstreams the faster one is the
// reference. With fewer than two known upstreams of the kind, `own` is compared
// with its own long-term speed.
double ReferenceSeconds(const std::vector<StragglerCandidate>& candidates,
                        const StragglerCandidate& own) {
  std::vector<double> known;
  for (const StragglerCandidate& candidate : candidates) {
    if (candidate.kind == own.kind && candidate.seconds_per_token > 0.0) {
      known.push_back(candidate.seconds_per_token);
    }
  }
  if (known.size() < 2) {
    return own.long_term_seconds_per_token;
  }
  auto middle = known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

// Returns the seconds per token of `own` divided by its reference; 0 if either
// is unknown.
double SlownessFactor(const std::vector<StragglerCandidate>& candidates,
                      const StragglerCandidate& own) {
  if (own.seconds_per_token <= 0.0) {
    return 0.0;
  }
  const double reference = ReferenceSeconds(candidates, own);
  return reference > 0.0 ? own.seconds_per_token / reference : 0.0;
}

bool IsSlow(const StragglerCandidate& candidate, double factor) {
  // Two routers that agree need less evidence each than one alone.
  const double limit = candidate.suspected_by_peer
                           ? StragglerDetector::kRecoveredFactor
                           : StragglerDetector::kSlowFactor;
  return factor > limit;
}

}  // namespace

void StragglerDetector::Update(
    const std::vector<StragglerCandidate>& candidates,
    TimePoint now,
    std::vector<StragglerState*>* states) {
  assert(candidates.size() == states->size());
  size_t ejected = 0;
  for (const StragglerState* state : *states) {
    ejected += state->ejected ? 1 : 0;
  }
  for (size_t i = 0; i < candidates.size(); ++i) {
    StragglerState& state = *(*states)[i];
    const double factor = SlownessFactor(candidates, candidates[i]);
    if (state.ejected) {
      if (factor > 0.0 && factor < kRecoveredFactor) {
        state = StragglerState();
        --ejected;
      }
      continue;
    }
    if (!IsSlow(candidates[i], factor)) {
      state.slow_since = TimePoint();
      continue;
    }
    if (state.slow_since == TimePoint()) {
      state.slow_since = now;
    }
    if (now - state.slow_since >= kMinSlowTime &&
        ejected < MaxEjected(candidates.size())) {
      state.ejected = true;
      state.ejected_since = now;
      ++ejected;
    }
  }
}

}  // namespace papaya
