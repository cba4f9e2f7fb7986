#ifndef SRC_ROLLOUT_EVIDENCE_H_
#define SRC_ROLLOUT_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace papaya {

// Counts of requests, and of events among them, of two versions over the same
// time.
struct EventTable {
  uint32_t new_events = 0;
  uint32_t new_requests = 0;
  uint32_t old_events = 0;
  uint32_t old_requests = 0;
};

// The metrics by which versions are compared. Failures and very slow replies
// are events that are counted in an EventTable.
enum class Metric : uint8_t {
  kFailure,
  kLatency,   // compared by rank instead, see LatencyLogRatios
  kVerySlow,  // among the slowest replies, about one in ten
};

inline constexpr size_t kMetrics = 3;

// The number of effect sizes (odds ratios or shifts) that are tested for each
// metric.
inline constexpr size_t kEffects = 2;

using LogRatios = std::array<double, kEffects>;

// What the evidence is against. Replicas differ from one another more than
// versions do, because of their hardware and random variation of load, so only
// large effects count as evidence against a single replica.
enum class Subject : uint8_t { kVersion, kReplica };

// Returns for each effect size the log of the likelihood ratio of "the new
// version's odds are larger by this effect" against "they are larger by at most
// the tolerated effect", given the margins of the table. This is the exact
// ratio of Fisher's noncentral hypergeometric distribution. Its expectation is
// at most 1 if the new version's odds are no larger than the old version's.
LogRatios LogLikelihoodRatios(const EventTable& table,
                              Metric metric,
                              Subject subject);

// Evidence that the new version is worse by one metric, valid at every
// evaluation: products of likelihood ratios, mixed over effect sizes and over
// the times at which the version may have become bad (change points). If the
// new version is no worse, this is a nonnegative supermartingale that starts at
// 1, so the probability that it ever reaches 1/a is at most a.
class EvidenceProcess {
 public:
  // Multiplies the products by the ratios of one window.
  void Multiply(const LogRatios& ratios);

  // Adds a component to the mixture for a version that becomes bad now. Has no
  // effect after kMaxChangePoints calls.
  void AddChangePoint();

  // Returns the natural logarithm of the evidence.
  double LogEvidence() const;

 private:
  static constexpr int kMaxChangePoints = 240;

  // For each effect size, the log of the sum of the components that have
  // started. The weight of later change points is reserved.
  std::array<double, kEffects> log_active_ = InitialActive();
  int change_points_left_ = kMaxChangePoints;

  static std::array<double, kEffects> InitialActive();
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_EVIDENCE_H_
