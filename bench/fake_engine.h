#ifndef BENCH_FAKE_ENGINE_H_
#define BENCH_FAKE_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/virtual_loop.h"
#include "include/admission/attempt_result.h"
#include "include/base/units.h"

namespace papaya::bench {

// Work for a FakeEngine, with callbacks that report its progress.
struct FakeJob {
  // Unique among all jobs of the engine.
  uint64_t key = 0;
  Tokens prompt_tokens;
  std::vector<uint64_t> prefix_hashes;
  // For plain services, milliseconds of work.
  Tokens output_tokens;
  // Called when the job gets a slot. `prefilled` is the number of prompt tokens
  // that were not in the cache.
  std::function<void(int64_t prefilled)> on_begin;
  std::function<void()> on_first_token;
  std::function<void(Tokens total)> on_tokens;
  std::function<void(AttemptEnd end, Tokens output)> on_end;
};

struct FakeEngineSpeed {
  int slots = 8;
  double prefill_seconds_per_token = 2e-4;
  double decode_seconds_per_token = 0.03;
  // Fraction by which a full batch lengthens the time per output token.
  double batch_slowdown = 0.5;
  // Capacity of the prefix cache in prompt blocks.
  size_t cache_blocks = 600;
};

// An upstream in virtual time. It prefills prompts one after the other, decodes
// its batch concurrently, queues jobs beyond its slots in the order of arrival
// without priorities, and keeps an LRU cache of prompt prefixes.
class FakeEngine {
 public:
  FakeEngine(VirtualLoop* loop, FakeEngineSpeed speed)
      : loop_(loop), speed_(speed) {}

  // Accepts `job`. on_end is called last and exactly once, unless the job is
  // cancelled. A crashed or leaving engine ends the job without running it.
  void Submit(FakeJob job) {
    if (is_crashed_ || is_leaving_) {
      const AttemptEnd end =
          is_leaving_ ? AttemptEnd::kLeaving : AttemptEnd::kNotRun;
      loop_->After(Duration(), [job, end] { job.on_end(end, Tokens()); });
      return;
    }
    waiting_.push_back(std::make_shared<JobState>(JobState{std::move(job)}));
    StartWaiting();
  }

  // Stops a waiting or running job without calling on_end. Returns false if
  // there is no such job.
  bool Cancel(uint64_t key) {
    for (auto position = waiting_.begin(); position != waiting_.end();
         ++position) {
      if ((*position)->job.key == key) {
        waiting_.erase(position);
        return true;
      }
    }
    auto found = running_.find(key);
    if (found == running_.end()) {
      return false;
    }
    found->second->is_stopped = true;
    running_.erase(found);
    StartWaiting();
    return true;
  }

  // Ends all jobs as kUnknown, clears the cache and refuses new jobs until
  // Restart().
  void Crash() {
    is_crashed_ = true;
    cache_.clear();
    cache_positions_.clear();
    std::vector<std::shared_ptr<JobState>> all(waiting_.begin(),
                                               waiting_.end());
    for (const auto& [key, running] : running_) {
      all.push_back(running);
    }
    waiting_.clear();
    running_.clear();
    for (const std::shared_ptr<JobState>& running : all) {
      running->is_stopped = true;
      loop_->After(Duration(), [running] {
        running->job.on_end(AttemptEnd::kUnknown, running->output);
      });
    }
  }
  void Restart() { is_crashed_ = false; }

  // Refuses new jobs and finishes the accepted ones.
  void Leave() { is_leaving_ = true; }
  bool is_leaving() const { return is_leaving_; }

  // Makes work that starts from now on take `factor` times as long.
  void SetSlowness(double factor) { slowness_ = factor; }
  double slowness() const { return slowness_; }

  const FakeEngineSpeed& speed() const { return speed_; }
  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }

  // Returns the number of leading blocks of the prompt that are in the cache.
  size_t CachedBlocks(const std::vector<uint64_t>& hashes) const {
    size_t blocks = 0;
    while (blocks < hashes.size() &&
           cache_positions_.contains(hashes[blocks])) {
      ++blocks;
    }
    return blocks;
  }

  // Returns the seconds until the prefill of a job that gets a slot now would
  // start.
  double PrefillBacklog() const {
    return std::max(0.0, ToSeconds(prefill_free_ - loop_->now()));
  }

 private:
  struct JobState {
    FakeJob job;
    Tokens output;
    bool is_stopped = false;
  };

  static constexpr double kDecodeStepSeconds = 0.25;

  void StartWaiting() {
    while (!waiting_.empty() && running() < speed_.slots) {
      std::shared_ptr<JobState> next = waiting_.front();
      waiting_.pop_front();
      running_[next->job.key] = next;
      Prefill(next);
    }
  }

  void Prefill(const std::shared_ptr<JobState>& running) {
    const FakeJob& job = running->job;
    const size_t blocks = job.prefix_hashes.size();
    const size_t cached = CachedBlocks(job.prefix_hashes);
    int64_t tokens = job.prompt_tokens.value();
    if (blocks > 0) {
      tokens -=
          tokens * static_cast<int64_t>(cached) / static_cast<int64_t>(blocks);
    }
    AddToCache(job.prefix_hashes);
    job.on_begin(tokens);
    const Duration work =
        SecondsToDuration(static_cast<double>(tokens) *
                          speed_.prefill_seconds_per_token * slowness_);
    prefill_free_ = std::max(prefill_free_, loop_->now()) + work;
    loop_->After(prefill_free_ - loop_->now(), [this, running] {
      if (running->is_stopped) {
        return;
      }
      running->job.on_first_token();
      Decode(running);
    });
  }

  double SecondsPerToken() const {
    const double fill = static_cast<double>(running()) / speed_.slots;
    return speed_.decode_seconds_per_token * slowness_ *
           (1.0 + speed_.batch_slowdown * fill);
  }

  void Decode(const std::shared_ptr<JobState>& running) {
    const int64_t remaining =
        running->job.output_tokens.value() - running->output.value();
    const double seconds_per_token = SecondsPerToken();
    const int64_t in_step = std::max<int64_t>(
        1, static_cast<int64_t>(kDecodeStepSeconds / seconds_per_token));
    const int64_t tokens = std::min(remaining, in_step);
    loop_->After(
        SecondsToDuration(static_cast<double>(tokens) * seconds_per_token),
        [this, running, tokens] { FinishStep(running, tokens); });
  }

  void FinishStep(const std::shared_ptr<JobState>& running, int64_t tokens) {
    if (running->is_stopped) {
      return;
    }
    running->output += Tokens(tokens);
    running->job.on_tokens(running->output);
    if (running->output < running->job.output_tokens) {
      Decode(running);
      return;
    }
    running_.erase(running->job.key);
    running->job.on_end(AttemptEnd::kOk, running->output);
    StartWaiting();
  }

  void AddToCache(const std::vector<uint64_t>& hashes) {
    // The last block is added first, so that the ends of prefixes are evicted
    // before their beginnings.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
      auto position = cache_positions_.find(*hash);
      if (position != cache_positions_.end()) {
        cache_.erase(position->second);
      }
      cache_.push_front(*hash);
      cache_positions_[*hash] = cache_.begin();
    }
    while (cache_.size() > speed_.cache_blocks) {
      cache_positions_.erase(cache_.back());
      cache_.pop_back();
    }
  }

  VirtualLoop* loop_;
  FakeEngineSpeed speed_;
  bool is_crashed_ = false;
  bool is_leaving_ = false;
  double slowness_ = 1.0;
  TimePoint prefill_free_;
  std::deque<std::shared_ptr<JobState>> waiting_;
  std::map<uint64_t, std::shared_ptr<JobState>> running_;
  std::list<uint64_t> cache_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache_positions_;
};

}  // namespace papaya::bench

#endif  // BENCH_FAKE_ENGINE_H_
