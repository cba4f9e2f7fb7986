#include "include/standin/engine_model.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "include/base/stable_hash.h"
#include "include/standin/response_text.h"
#include "include/wire/prompt_blocks.h"

namespace papaya {

namespace {

static_assert(kPromptBlockBytes ==
              kBytesPerToken * EngineModel::kTokensPerBlock);

Duration Scale(Duration duration, double factor) {
  return SecondsToDuration(ToSeconds(duration) * factor);
}

}  // namespace

EngineModel::EngineModel(const EngineOptions& options, uint64_t seed)
    : options_(options),
      seed_(seed),
      versions_(options.versions),
      cache_(options.cache_blocks),
      load_(EngineLoad()) {}

bool EngineModel::Submit(const EngineRequest& request, TimePoint now) {
  Advance(now);
  EngineStream stream;
  stream.prompt = request.prompt;
  stream.version = versions_.active();
  stream.max_tokens = request.max_tokens;
  stream.hashes = HashPromptBlocks(request.prompt, request.prompt.size());
  if (!streams_.emplace(request.stream_id, std::move(stream)).second) {
    return false;
  }
  waiting_.push_back(request.stream_id);
  if (!step_end_) {
    StartStep(now);
  }
  RecordLoad(now);
  return true;
}

void EngineModel::Advance(TimePoint now) {
  versions_.Advance(now);
  while (step_end_ && *step_end_ <= now) {
    const TimePoint end = *step_end_;
    FinishStep(end);
    StartStep(end);
    RecordLoad(end);
  }
}

void EngineModel::StartStep(TimePoint now) {
  AdmitWaiting();
  step_end_.reset();
  if (batch_.empty()) {
    return;
  }
  const Tokens prefilled = PrefillOneChunk(now);
  const size_t decoding = static_cast<size_t>(std::count_if(
      batch_.begin(), batch_.end(), [this](const std::string& id) {
        return streams_.at(id).state == StreamState::kDecoding;
      }));
  double seconds = static_cast<double>(prefilled.value()) /
                   options_.prefill_tokens_per_second;
  if (decoding > 0) {
    seconds +=
        ToSeconds(options_.time_per_token) *
        (1.0 + options_.batch_growth * static_cast<double>(decoding - 1));
  }
  step_end_ = now + Scale(SecondsToDuration(seconds), SlowFactor(now));
}

void EngineModel::AdmitWaiting() {
  while (batch_.size() < options_.max_batch && !waiting_.empty()) {
    BeginPrefill(streams_.at(waiting_.front()));
    batch_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

void EngineModel::BeginPrefill(EngineStream& stream) {
  const Tokens prompt = CountPromptTokens(stream.prompt);
  const int64_t matched = static_cast<int64_t>(cache_.Match(stream.hashes));
  // The last prompt token is always computed, because its output is the first
  // token of the response.
  const Tokens cached(std::min(matched * kTokensPerBlock, prompt.value() - 1));
  stream.state = StreamState::kPrefill;
  stream.prefill_left = prompt - cached;
  cached_prefill_ += cached;
}

Tokens EngineModel::PrefillOneChunk(TimePoint now) {
  Tokens budget = options_.prefill_chunk;
  for (const std::string& id : batch_) {
    EngineStream& stream = streams_.at(id);
    if (stream.state != StreamState::kPrefill) {
      continue;
    }
    const Tokens chunk = std::min(budget, stream.prefill_left);
    stream.prefill_left -= chunk;
    budget -= chunk;
    if (stream.prefill_left > Tokens(0)) {
      continue;
    }
    cache_.Store(stream.hashes, now);
    stream.state = StreamState::kDecoding;
    const auto version_fault = version_faults_.find(stream.version);
    if (version_fault != version_faults_.end() &&
        IsFaultActive(version_fault->second, stream, now)) {
      const double draw = HashToUnit(StableHash(id, seed_));
      stream.will_fail =
          draw * 1000 <
          static_cast<double>(version_fault->second.failing.value());
    }
  }
  const Tokens used = options_.prefill_chunk - budget;
  prefilled_ += used;
  return used;
}

void EngineModel::FinishStep(TimePoint now) {
  versions_.Advance(now);
  for (const std::string& id : batch_) {
    EngineStream& stream = streams_.at(id);
    if (stream.state == StreamState::kDecoding) {
      DecodeOnce(stream);
    }
  }
  RemoveEndedStreams();
}

void EngineModel::DecodeOnce(EngineStream& stream) {
  if (stream.will_fail) {
    stream.state = StreamState::kFailed;
    return;
  }
  stream.produced += Tokens(1);
  if (stream.produced >= stream.max_tokens) {
    stream.state = StreamState::kDone;
  }
}

void EngineModel::RemoveEndedStreams() {
  std::erase_if(batch_, [this](const std::string& id) {
    const bool is_over = streams_.at(id).HasEnded();
    if (is_over) {
      ended_.push_back(id);
    }
    return is_over;
  });
  while (ended_.size() > options_.max_ended_streams) {
    streams_.erase(ended_.front());
    ended_.pop_front();
  }
}

const EngineStream* EngineModel::Find(const std::string& stream_id) const {
  const auto stream = streams_.find(stream_id);
  return stream == streams_.end() ? nullptr : &stream->second;
}

void EngineModel::Cancel(const std::string& stream_id, TimePoint now) {
  Advance(now);
  const auto stream = streams_.find(stream_id);
  if (stream == streams_.end() || stream->second.HasEnded()) {
    return;
  }
  const bool was_waiting = stream->second.state == StreamState::kWaiting;
  stream->second.state = StreamState::kCancelled;
  if (was_waiting) {
    std::erase(waiting_, stream_id);
    ended_.push_back(stream_id);
  }
  RemoveEndedStreams();
  RecordLoad(now);
}

bool EngineModel::IsFaultActive(const VersionFault& version_fault,
                                const EngineStream& stream,
                                TimePoint now) const {
  return stream.version == version_fault.version &&
         now >= active_since_ + version_fault.after &&
         batch_.size() >= version_fault.min_batch &&
         stream.prompt.find(version_fault.prompt_part) != std::string::npos;
}

double EngineModel::SlowFactor(TimePoint now) const {
  double factor = slow_factor_;
  for (const std::string& id : batch_) {
    const EngineStream& stream = streams_.at(id);
    const auto version_fault = version_faults_.find(stream.version);
    if (version_fault != version_faults_.end() &&
        IsFaultActive(version_fault->second, stream, now)) {
      factor =
          std::max(factor, slow_factor_ * version_fault->second.slow_factor);
    }
  }
  return factor;
}

EngineLoad EngineModel::ReportedLoad(TimePoint now, Duration lag) const {
  return load_.Get(now, lag);
}

void EngineModel::SetVersionFault(const VersionFault& version_fault) {
  version_faults_[version_fault.version] = version_fault;
}

OrderResult EngineModel::Order(const StandinOrder& order, TimePoint now) {
  Advance(now);
  const VersionId before = versions_.active();
  const OrderResult result = versions_.Order(order, now);
  if (versions_.active() != before) {
    active_since_ = now;
  }
  return result;
}

void EngineModel::RecordLoad(TimePoint now) {
  const int64_t used = static_cast<int64_t>(cache_.size());
  const int64_t capacity =
      std::max<int64_t>(1, static_cast<int64_t>(cache_.max_blocks()));
  load_.Set(now, {.running = batch_.size(),
                  .waiting = waiting_.size(),
                  .kv_used_permille = used * 1000 / capacity});
}

}  // namespace papaya
