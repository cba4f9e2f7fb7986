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

// The speed and the capacity of a stand-in engine.
struct EngineOptions {
  VersionManager::Options versions;
  double prefill_tokens_per_second = 20000;
  // Duration of a decode step with one stream. Each further stream in the batch
  // lengthens the step by the fraction `batch_growth` of this duration.
  Duration time_per_token = std::chrono::milliseconds(5);
  double batch_growth = 0.05;
  // Maximum number of streams in the batch. Further streams wait.
  size_t max_batch = 16;
  // Maximum number of prompt tokens prefilled in one step.
  Tokens prefill_chunk{512};
  // Capacity of the prefix cache in blocks of kTokensPerBlock tokens.
  size_t cache_blocks = 4096;
  // Number of ended streams that are kept so that they can be resumed.
  size_t max_ended_streams = 1024;
};

// An injected fault of one version. It takes effect once the version has been
// active for `after`, while the batch has at least `min_batch` streams, and for
// prompts that contain `prompt_part`.
struct VersionFault {
  VersionId version;
  // Share of streams that fail after prefill, with status 500.
  Permille failing;
  double slow_factor = 1.0;
  Duration after{};
  size_t min_batch = 0;
  std::string prompt_part;
};

struct EngineRequest {
  // Unique id of the stream.
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

// The state of one stream. The text of token `index` is
// ResponseToken(prompt, index).
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

// Simulates a model engine with continuous batching. Streams wait for a place
// in the batch, are prefilled in chunks except for the cached prefix of their
// prompt, and are then decoded together, one token per step. The model has no
// clock of its own: the owner passes the time and calls Advance when the time
// returned by NextStep is reached. Not thread-safe.
class EngineModel {
 public:
  static constexpr int64_t kTokensPerBlock = 64;

  EngineModel(const EngineOptions& options, uint64_t seed);

  // Queues a stream on the active version. Returns false if its id is in use.
  bool Submit(const EngineRequest& request, TimePoint now);

  // Runs all steps that end by `now`.
  void Advance(TimePoint now);

  // Returns the time at which the current step ends, or nullopt if the engine
  // is idle.
  std::optional<TimePoint> NextStep() const { return step_end_; }

  // Returns the stream with this id, or null if it does not exist or was
  // removed after it ended.
  const EngineStream* Find(const std::string& stream_id) const;

  // Cancels a stream. Has no effect on a stream that ended or is unknown.
  void Cancel(const std::string& stream_id, TimePoint now);

  // Returns the load as it was at the time `now` - `lag`.
  EngineLoad ReportedLoad(TimePoint now, Duration lag) const;

  // Sets the fault of `version_fault.version` and replaces an earlier one.
  void SetVersionFault(const VersionFault& version_fault);
  OrderResult Order(const StandinOrder& order, TimePoint now);

  // Multiplies the duration of all steps that start later.
  void set_slow_factor(double factor) { slow_factor_ = factor; }

  // Total prompt tokens that were computed, and that the cache provided.
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
  // Stream ids in order of arrival.
  std::deque<std::string> waiting_;
  std::vector<std::string> batch_;
  // Stream ids in the order in which the streams ended.
  std::deque<std::string> ended_;
  std::optional<TimePoint> step_end_;
  LaggedValue<EngineLoad> load_;
  Tokens prefilled_;
  Tokens cached_prefill_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_ENGINE_MODEL_H_
