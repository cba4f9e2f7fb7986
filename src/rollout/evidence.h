#ifndef SRC_ROLLOUT_EVIDENCE_H_
#define SRC_ROLLOUT_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace papaya {

// Events among requests of two versions over the same time.
struct EventTable {
  uint32_t new_events = 0;
  uint32_t new_requests = 0;
  uint32_t old_events = 0;
  uint32_t old_requests = 0;
};

// What is counted as an event of a request.
enum class Metric : uint8_t {
  kFailure,
  kLatency,   // none: replies are compared by rank, see LatencyLogRatios
  kVerySlow,  // slower than about one in ten
};

inline constexpr size_t kMetrics = 3;

// Odds ratios that are tried against the new version.
inline constexpr size_t kEffects = 2;

using LogRatios = std::array<double, kEffects>;

// Whom the evidence is against. Single replicas differ from one another, by
// hardware and by chance of load, more than versions do, so only large effects
// count against one.
enum class Subject : uint8_t { kVersion, kReplica };

// For each effect, the log of the likelihood ratio of `the new version's odds
// are that much larger` against `they are at most a little larger`, given the
// table's margins: the exact ratio of Fisher's noncentral hypergeometric
// distribution. Its expectation is at most 1 if the odds are no larger.
LogRatios LogLikelihoodRatios(const EventTable& table,
                              Metric metric,
                              Subject subject);

// Evidence against one hypothesis that holds at every look: a mixture, over the
// time at which badness began and over effects, of products of likelihood
// ratios. A nonnegative supermartingale that starts at 1, so the chance that it
// ever reaches 1/a is at most a if the new version is no worse.
class EvidenceProcess {
 public:
  // Multiplies in one window's ratios.
  void Multiply(const LogRatios& ratios);

  // Starts another component of the mixture, for badness that begins now. Those
  // beyond kMaxChangePoints change nothing.
  void AddChangePoint();

  // Natural log of the evidence.
  double LogEvidence() const;

 private:
  static constexpr int kMaxChangePoints = 240;

  // Log of the mixture's part that is at stake, for each effect; and how much
  // is still held back for later starts.
  std::array<double, kEffects> log_active_ = InitialActive();
  int change_points_left_ = kMaxChangePoints;

  static std::array<double, kEffects> InitialActive();
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_EVIDENCE_H_
