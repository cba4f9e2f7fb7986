// The part of ConfigSpreader that talks with other routers.

#include <algorithm>
#include <cassert>
#include <utility>

#include "include/config/config_delta.h"
#include "include/config/config_spreader.h"
#include "src/config/applied_table.h"
#include "src/config/config_history.h"
#include "src/config/fact_gossip.h"

namespace papaya {

namespace {

constexpr double kPeriodSpread = 0.2;
// Random neighbours that a periodic digest goes to.
constexpr size_t kDigestFanout = 2;
// Random neighbours that news of applied revisions goes to.
constexpr size_t kAppliedFanout = 4;
constexpr Duration kAppliedFlushPeriod = std::chrono::milliseconds(200);
// Between two sendings of the whole table of applied revisions.
constexpr Duration kAppliedTablePeriod = std::chrono::seconds(1);

bool IsEmpty(const FactNews& news) {
  return news.stopped.empty() && news.leaving.empty();
}

}  // namespace

void ConfigSpreader::Handle(const RouterId& from, const ConfigDigest& digest) {
  last_heard_ = now_;
  if (config_ == nullptr) {
    heard_.insert(from);
  }
  NoteKnown(std::max(digest.highest_known, digest.revision));
  if (digest.revision > HeldRevision()) {
    Ask(from, HeldRevision());
  } else if (config_ != nullptr && digest.revision < config_->revision) {
    hooks_.send(from, MakeDigest());
  } else if (digest.revision == HeldRevision() && digest.hash != held_hash_) {
    Log(EventId::kConfigConflict, "router", from.value());
  }
  if (digest.facts_hash != facts().hash()) {
    SendFacts(from);
  }
  if (digest.applied_hash != applied_->hash()) {
    SendApplied(from);
  }
}

void ConfigSpreader::Handle(const RouterId& from,
                            const ConfigRequest& request) {
  if (config_ == nullptr || request.base >= config_->revision) {
    return;
  }
  std::vector<ConfigDelta> deltas =
      history_->Find(request.base, request.base_hash);
  if (deltas.empty()) {
    SendSnapshot(from);
    return;
  }
  hooks_.send(from, ConfigDeltas{std::move(deltas)});
}

void ConfigSpreader::Handle(const RouterId& from, const ConfigDeltas& message) {
  if (held_ == nullptr || message.deltas.empty()) {
    return;
  }
  const auto start = std::find_if(
      message.deltas.begin(), message.deltas.end(),
      [this](const ConfigDelta& d) { return d.base == held_->revision; });
  if (start == message.deltas.end()) {
    return;
  }
  std::vector<ConfigDelta> steps(start, message.deltas.end());
  absl::StatusOr<FleetConfig> result = ApplyDeltas(*held_, held_hash_, steps);
  if (!result.ok()) {
    pending_until_ = {};
    Ask(from, Revision(0));
    return;
  }
  const uint64_t hash = steps.back().result_hash;
  Adopt(std::make_shared<const FleetConfig>(*std::move(result)), hash,
        from.value(), std::move(steps));
}

void ConfigSpreader::Handle(const RouterId& from,
                            const ConfigSnapshot& message) {
  assert(message.config != nullptr);
  if (message.config->revision <= HeldRevision()) {
    return;
  }
  if (HashConfig(*message.config) != message.hash) {
    Log(EventId::kConfigRefused, "router", from.value());
    return;
  }
  Adopt(message.config, message.hash, from.value(), {});
}

void ConfigSpreader::Handle(const RouterId& /*from*/, const FactNews& message) {
  last_heard_ = now_;
  facts_->Take(message);
}

void ConfigSpreader::Handle(const RouterId& /*from*/,
                            const AppliedNews& message) {
  applied_->Learn(message, now_);
  for (const AppliedGroup& group : message.groups) {
    NoteKnown(group.revision);
  }
}

ConfigDigest ConfigSpreader::MakeDigest() const {
  ConfigDigest digest;
  if (config_ != nullptr) {
    digest.revision = config_->revision;
    digest.hash = held_hash_;
  }
  digest.highest_known = highest_known_;
  digest.facts_hash = facts().hash();
  digest.applied_hash = applied_->hash();
  return digest;
}

void ConfigSpreader::Ask(const RouterId& peer, Revision base) {
  if (now_ < pending_until_) {
    return;
  }
  const bool is_whole = base == Revision(0);
  pending_until_ =
      now_ + (is_whole ? options_.snapshot_timeout : options_.delta_timeout);
  hooks_.send(peer, ConfigRequest{base, is_whole ? 0 : held_hash_});
}

void ConfigSpreader::SendSnapshot(const RouterId& to) {
  if (now_ - snapshot_second_ >= std::chrono::seconds(1)) {
    snapshot_second_ = now_;
    snapshots_sent_ = 0;
  }
  if (snapshots_sent_ >= options_.snapshots_per_second) {
    return;
  }
  ++snapshots_sent_;
  hooks_.send(to, ConfigSnapshot{held_hash_, config_});
}

void ConfigSpreader::SendDigests() {
  if (now_ < next_digest_) {
    return;
  }
  next_digest_ = now_ + random_.Jitter(options_.digest_period, kPeriodSpread);
  SendToSome(kDigestFanout, MakeDigest());
}

void ConfigSpreader::SendToSome(size_t count, const ConfigMessage& message) {
  std::vector<RouterId> chosen = view_.neighbours;
  for (size_t i = 0; i < chosen.size() && i < count; ++i) {
    std::swap(chosen[i], chosen[i + random_.Below(chosen.size() - i)]);
    hooks_.send(chosen[i], message);
  }
}

void ConfigSpreader::SendFacts(const RouterId& to) {
  const FactNews news = facts_->TakeSome();
  if (!IsEmpty(news)) {
    hooks_.send(to, news);
  }
}

void ConfigSpreader::SendApplied(const RouterId& to) {
  if (now_ < next_applied_table_) {
    return;
  }
  next_applied_table_ = now_ + kAppliedTablePeriod;
  hooks_.send(to, applied_->All());
}

void ConfigSpreader::FlushFacts() {
  const FactNews news = facts_->TakeNews();
  if (!IsEmpty(news)) {
    SendToSome(view_.neighbours.size(), news);
  }
}

void ConfigSpreader::FlushApplied() {
  if (now_ < next_applied_flush_) {
    return;
  }
  next_applied_flush_ = now_ + kAppliedFlushPeriod;
  const AppliedNews news = applied_->TakeNews();
  if (!news.groups.empty()) {
    SendToSome(kAppliedFanout, news);
  }
}

}  // namespace papaya
