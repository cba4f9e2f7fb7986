#ifndef INCLUDE_STANDIN_ENGINE_MODEL_H_
#define INCLUDE_STANDIN_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/standin/lagged_value.h"
#include "include/standin/prefix_cache.h"
#include "include/standin/version_manager.h"

namespace papaya {

// How fast a stand-in engine is and how much it holds.
struct EngineOptions {
  VersionManager::Options versions;
  double prefill_tokens_per_second = 20000;
  // A decode step of a batch of one; each further stream adds
  // `batch_growth` of it.
  Duration time_per_token = std::chrono::milliseconds(5);
  double batch_growth = 0.05;
  // Streams decoded together; more wait.
  size_t max_batch = 16;
  // Prompt tokens prefilled in one step, between decode steps.
  Tokens prefill_chunk{512};
  // Blocks of kTokensPerBlock tokens that the prefix cache holds.
  size_t cache_blocks = 4096;
  // Ended streams that can still be read on.
  size_t max_ended_streams = 1024;
};

// What makes one version bad. Faults show only after `after` of being active,
// with at least `min_batch` streams at work, and on prompts that contain
// `prompt_part`.
struct VersionFault {
  VersionId version;
  // Fails with 500 after prefill.
  Permille failing;
  double slow_factor = 1.0;
  Duration after{};
  size_t min_batch = 0;
  std::string prompt_part;
};

struct EngineRequest {
  // Names the stream; unique.
  std::string stream_id;
  std::string prompt;
  Tokens max_tokens{16};
};

enum class StreamState : uint8_t {
  kWaiting,
  kPrefill,
  kDecoding,
  kDone,
  kFailed,
  kCancelled,
};

// One stream. The text of its tokens is ResponseToken(prompt, index).
struct EngineStream {
  std::string prompt;
  VersionId version;
  StreamState state = StreamState::kWaiting;
  Tokens prefill_left;
  Tokens produced;
  Tokens max_tokens;
  std::vector<uint64_t> hashes;
  bool will_fail = false;

  bool HasEnded() const { return state >= StreamState::kDone; }
};

struct EngineLoad {
  size_t running = 0;
  size_t waiting = 0;
  int64_t kv_used_permille = 0;

  bool operator==(const EngineLoad&) const = default;
};

// A model engine with continuous batching, as decisions about it go: streams
// wait for the batch, are prefilled in chunks but for the prefix that is
// cached, and are then decoded together, one token each step. Owns no time:
// call Advance when NextStep is due.
class EngineModel {
 public:
  static constexpr int64_t kTokensPerBlock = 64;

  EngineModel(const EngineOptions& options, uint64_t seed);

  // Starts a stream on the active version. False if the id is in use.
  bool Submit(const EngineRequest& request, TimePoint now);

  // Works up to `now`.
  void Advance(TimePoint now);

  // When the step at work ends; empty if there is none.
  std::optional<TimePoint> NextStep() const { return step_end_; }

  // The stream with that id; null if it was never there or is forgotten.
  const EngineStream* Find(const std::string& stream_id) const;

  // Ends a stream. Doing so again, or for an unknown one, changes nothing.
  void Cancel(const std::string& stream_id, TimePoint now);

  // The load as it was `lag` before `now`.
  EngineLoad ReportedLoad(TimePoint now, Duration lag) const;

  // From now on that version is as bad as `badness` says.
  void SetVersionFault(const VersionFault& version_fault);
  OrderResult Order(const StandinOrder& order, TimePoint now);

  // Every later step takes this many times as long.
  void set_slow_factor(double factor) { slow_factor_ = factor; }

  // Prompt tokens computed, and those spared by the cache.
  Tokens prefilled() const { return prefilled_; }
  Tokens cached_prefill() const { return cached_prefill_; }

  VersionManager& versions() { return versions_; }
  const VersionManager& versions() const { return versions_; }
  PrefixCache& cache() { return cache_; }

 private:
  bool IsFaultActive(const VersionFault& version_fault,
                     const EngineStream& stream,
                     TimePoint now) const;
  double SlowFactor(TimePoint now) const;
  void StartStep(TimePoint now);
  void FinishStep(TimePoint now);
  void AdmitWaiting();
  void BeginPrefill(EngineStream& stream);
  Tokens PrefillOneChunk(TimePoint now);
  void DecodeOnce(EngineStream& stream);
  void RemoveEndedStreams();
  void RecordLoad(TimePoint now);

  const EngineOptions options_;
  const uint64_t seed_;
  VersionManager versions_;
  PrefixCache cache_;
  double slow_factor_ = 1.0;
  std::map<VersionId, VersionFault> version_faults_;
  TimePoint active_since_;
  std::map<std::string, EngineStream> streams_;
  // Ids in order of arrival.
  std::deque<std::string> waiting_;
  std::vector<std::string> batch_;
  // Ids in order of ending.
  std::deque<std::string> ended_;
  std::optional<TimePoint> step_end_;
  LaggedValue<EngineLoad> load_;
  Tokens prefilled_;
  Tokens cached_prefill_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_ENGINE_MODEL_H_
