#include <memory>
#include <string>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

constexpr int32_t kNoRecovery = -1;

}  // namespace

fb::PayloadUnion EncodeFeedMessage(const FeedRequest& request) {
  fb::FeedRequestT encoded;
  encoded.wants_long_changes = request.wants_long_changes;
  for (const FeedRequest::KindVersion& known : request.kinds) {
    auto kind = std::make_unique<fb::KindVersionT>();
    kind->kind = known.kind;
    kind->version = known.version.value();
    kind->is_behind = known.is_behind;
    encoded.kinds.push_back(std::move(kind));
  }
  return MakePayload(std::move(encoded));
}

fb::PayloadUnion EncodeFeedMessage(const FeedUpdate& update) {
  fb::FeedUpdateT encoded;
  for (const KindFeed& feed : update.kinds) {
    auto kind = std::make_unique<fb::KindFeedT>();
    kind->kind = feed.kind;
    kind->from = feed.from.value();
    kind->to = feed.to.value();
    kind->age_ms = static_cast<uint32_t>(ToWireMilliseconds(feed.age));
    kind->recovery_age_ms = feed.recovery_age.has_value()
                                ? ToWireMilliseconds(*feed.recovery_age)
                                : kNoRecovery;
    if (feed.is_packed) {
      kind->from = feed.to.value();
      kind->packed_from = feed.from.value();
      kind->packed_changes.assign(feed.changes.begin(), feed.changes.end());
    } else {
      kind->changes = feed.changes;
    }
    encoded.kinds.push_back(std::move(kind));
  }
  return MakePayload(std::move(encoded));
}

std::optional<PeerMessage> DecodeFeedMessage(const fb::PayloadUnion& payload) {
  if (const fb::FeedRequestT* request = payload.AsFeedRequest()) {
    FeedRequest decoded;
    decoded.wants_long_changes = request->wants_long_changes;
    for (const std::unique_ptr<fb::KindVersionT>& kind : request->kinds) {
      decoded.kinds.push_back({.kind = kind->kind,
                               .version = ObjectVersion(kind->version),
                               .is_behind = kind->is_behind});
    }
    return decoded;
  }
  const fb::FeedUpdateT* encoded = payload.AsFeedUpdate();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  FeedUpdate update;
  for (const std::unique_ptr<fb::KindFeedT>& kind : encoded->kinds) {
    KindFeed feed;
    feed.kind = kind->kind;
    feed.from = ObjectVersion(kind->from);
    feed.to = ObjectVersion(kind->to);
    feed.age = std::chrono::milliseconds(kind->age_ms);
    if (kind->recovery_age_ms >= 0) {
      feed.recovery_age = std::chrono::milliseconds(kind->recovery_age_ms);
    }
    feed.is_packed = !kind->packed_changes.empty();
    if (feed.is_packed) {
      feed.from = ObjectVersion(kind->packed_from);
    }
    feed.changes = feed.is_packed ? std::string(kind->packed_changes.begin(),
                                                kind->packed_changes.end())
                                  : kind->changes;
    if (feed.from > feed.to) {
      return std::nullopt;
    }
    update.kinds.push_back(std::move(feed));
  }
  return update;
}

}  // namespace papaya
