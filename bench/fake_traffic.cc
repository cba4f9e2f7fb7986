#include "bench/fake_traffic.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya::bench {

namespace {

// Concurrent conversations of all accounts together.
constexpr size_t kConversations = 160;
// Leading blocks that all prompts of one account and route share.
constexpr int64_t kSystemBlocks = 4;
// Blocks that one turn adds to a conversation.
constexpr int64_t kTurnBlocks = 2;

}  // namespace

void FakeTraffic::Start(TimePoint end) {
  class_scale_.resize(site_->classes.size(), 1.0);
  if (account_fractions_.empty()) {
    account_fractions_ = site_->account_fractions;
  }
  conversations_.resize(kConversations);
  for (size_t i = 0; i < site_->classes.size(); ++i) {
    const TrafficClass& traffic = site_->classes[i];
    const double rate = site_->Capacity(traffic.pool) * load_ *
                        traffic.fraction * class_scale_[i];
    ScheduleNext(i, rate, end);
  }
}

void FakeTraffic::ScheduleNext(size_t traffic, double rate, TimePoint end) {
  if (rate <= 0.0) {
    return;
  }
  const Duration gap = SecondsToDuration(random_.Exponential(1.0 / rate));
  fleet_->loop().After(gap, [this, traffic, rate, end] {
    if (fleet_->loop().now() >= end) {
      return;
    }
    Send(traffic);
    ScheduleNext(traffic, rate, end);
  });
}

size_t FakeTraffic::DrawWeighted(const std::vector<double>& fractions) {
  double total = 0.0;
  for (double fraction : fractions) {
    total += fraction;
  }
  double point = random_.Uniform() * total;
  for (size_t i = 0; i < fractions.size(); ++i) {
    if (point < fractions[i]) {
      return i;
    }
    point -= fractions[i];
  }
  return fractions.size() - 1;
}

// The load balancer sends no requests to dead routers.
size_t FakeTraffic::DrawRouter() {
  std::vector<double> fractions = site_->router_fractions;
  for (size_t i = 0; i < fractions.size(); ++i) {
    fractions[i] = fleet_->IsAlive(i) ? fractions[i] : 0.0;
  }
  return DrawWeighted(fractions);
}

std::vector<uint64_t> FakeTraffic::MakePrefixHashes(const TrafficClass& traffic,
                                                    size_t account) {
  const uint64_t system_seed =
      CombineHashes(StableHash(traffic.route.value()), account);
  std::vector<uint64_t> hashes;
  for (int64_t i = 0; i < kSystemBlocks; ++i) {
    hashes.push_back(CombineHashes(system_seed, static_cast<uint64_t>(i)));
  }
  const int64_t blocks = traffic.prompt / kBlockTokens;
  if (!traffic.is_conversation) {
    const uint64_t own = random_.Next64();
    while (static_cast<int64_t>(hashes.size()) < blocks) {
      hashes.push_back(CombineHashes(own, hashes.size()));
    }
    return hashes;
  }
  Conversation& conversation =
      conversations_[random_.Below(conversations_.size())];
  // A conversation grows from a third of the prompt length of its class to five
  // thirds, and is then replaced by a new one.
  if (conversation.seed == 0 || conversation.blocks > blocks * 5 / 3) {
    conversation = {random_.Next64(), blocks / 3};
  }
  conversation.blocks += kTurnBlocks;
  const uint64_t own = CombineHashes(conversation.seed, system_seed);
  while (static_cast<int64_t>(hashes.size()) < conversation.blocks) {
    hashes.push_back(CombineHashes(own, hashes.size()));
  }
  return hashes;
}

void FakeTraffic::Send(size_t class_index) {
  const TrafficClass& traffic = site_->classes[class_index];
  const size_t account = DrawWeighted(account_fractions_);
  RequestSpec spec;
  spec.account = AccountId("account-" + std::to_string(account));
  spec.route = traffic.route;
  spec.pool = traffic.pool;
  spec.tier = traffic.tier;
  spec.idempotent = traffic.idempotent;
  spec.share_hash = random_.Next64();
  if (traffic.prompt > 0) {
    spec.prefix_hashes = MakePrefixHashes(traffic, account);
    spec.prompt_tokens =
        Tokens(static_cast<int64_t>(spec.prefix_hashes.size()) * kBlockTokens);
  }
  const double output = random_.LogNormal(traffic.output, traffic.output_sigma);
  const Tokens tokens(std::max<int64_t>(1, std::llround(output)));
  fleet_->Offer(DrawRouter(), std::move(spec), tokens, traffic.max_queue_time);
}

}  // namespace papaya::bench
