#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

constexpr int32_t kNoRecovery = -1;

}  // namespace

fb::PayloadUnion EncodeFeedMessage(const FeedRequest& /*request*/) {
  return MakePayload(fb::FeedRequestT());
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
    kind->changes = feed.changes;
    encoded.kinds.push_back(std::move(kind));
  }
  return MakePayload(std::move(encoded));
}

std::optional<PeerMessage> DecodeFeedMessage(const fb::PayloadUnion& payload) {
  if (payload.AsFeedRequest() != nullptr) {
    return FeedRequest{};
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
    feed.changes = kind->changes;
    if (feed.from > feed.to) {
      return std::nullopt;
    }
    update.kinds.push_back(std::move(feed));
  }
  return update;
}

}  // namespace papaya
