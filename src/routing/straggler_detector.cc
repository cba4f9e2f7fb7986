#include "include/routing/straggler_detector.h"

#include <algorithm>
#include <cassert>

namespace papaya {

namespace {

// What an upstream of `kind` should take: the lower median of those known, so
// that of two alike the faster one sets the measure. Alone in its kind, an
// upstream is compared with what it used to take.
double Reference(const std::vector<StragglerCandidate>& candidates,
                 const StragglerCandidate& own) {
  std::vector<double> known;
  for (const StragglerCandidate& candidate : candidates) {
    if (candidate.kind == own.kind && candidate.seconds_per_token > 0.0) {
      known.push_back(candidate.seconds_per_token);
    }
  }
  if (known.size() < 2) {
    return own.usual_seconds_per_token;
  }
  auto middle = known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

// How many times as long as its kind an upstream takes; 0 if not known.
double SlowFactor(const std::vector<StragglerCandidate>& candidates,
                  const StragglerCandidate& own) {
  if (own.seconds_per_token <= 0.0) {
    return 0.0;
  }
  const double reference = Reference(candidates, own);
  return reference > 0.0 ? own.seconds_per_token / reference : 0.0;
}

bool LooksSlow(const StragglerCandidate& candidate, double factor) {
  // Two routers that see the same need less each.
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
    const double factor = SlowFactor(candidates, candidates[i]);
    if (state.ejected) {
      if (factor > 0.0 && factor < kRecoveredFactor) {
        state = StragglerState();
        --ejected;
      }
      continue;
    }
    if (!LooksSlow(candidates[i], factor)) {
      state.slow_since = TimePoint();
      continue;
    }
    if (state.slow_since == TimePoint()) {
      state.slow_since = now;
    }
    if (now - state.slow_since >= kSlowTime &&
        ejected < Cap(candidates.size())) {
      state.ejected = true;
      state.ejected_since = now;
      ++ejected;
    }
  }
}

}  // namespace papaya
