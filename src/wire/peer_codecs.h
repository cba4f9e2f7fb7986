#ifndef SRC_WIRE_PEER_CODECS_H_
#define SRC_WIRE_PEER_CODECS_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include "include/base/units.h"
#include "include/wire/peer_message.h"
#include "src/wire/peer_generated.h"

namespace papaya {

// A payload of the one message `encoded`.
template <typename Encoded>
fb::PayloadUnion MakePayload(Encoded encoded) {
  fb::PayloadUnion payload;
  payload.Set(std::move(encoded));
  return payload;
}

// Returns `duration` as a field of a message, cut to what the field holds.
inline int32_t ToWireMilliseconds(Duration duration) {
  return static_cast<int32_t>(
      std::clamp<int64_t>(duration / std::chrono::milliseconds(1), 0,
                          std::numeric_limits<int32_t>::max()));
}

// One codec a module. Each gives the payload of a message, and reads back the
// payloads of its own types; empty if the payload is another's, or a value in
// it is out of range.

fb::PayloadUnion EncodeMemberMessage(const MemberMessage& message);
std::optional<MemberMessage> DecodeMemberMessage(
    const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeConfigMessage(const ConfigMessage& message);
std::optional<ConfigMessage> DecodeConfigMessage(
    const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeStatsReport(const StatsReport& report);
std::optional<StatsReport> DecodeStatsReport(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeDemandNotice(const DemandNotice& notice);
std::optional<DemandNotice> DecodeDemandNotice(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeOnceMessage(const ClaimQuery& query);
fb::PayloadUnion EncodeOnceMessage(const ClaimReply& reply);
fb::PayloadUnion EncodeOnceMessage(const ForwardRequest& request);
fb::PayloadUnion EncodeOnceMessage(const ForwardReply& reply);
std::optional<PeerMessage> DecodeOnceMessage(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeUsageMessage(const UsageReport& report);
fb::PayloadUnion EncodeUsageMessage(const UsageTotals& totals);
std::optional<PeerMessage> DecodeUsageMessage(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeFeedMessage(const FeedRequest& request);
fb::PayloadUnion EncodeFeedMessage(const FeedUpdate& update);
std::optional<PeerMessage> DecodeFeedMessage(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeCrashNews(const CrashNews& news);
std::optional<CrashNews> DecodeCrashNews(const fb::PayloadUnion& payload);

fb::PayloadUnion EncodeMoveApproval(const MoveApproval& approval);
std::optional<MoveApproval> DecodeMoveApproval(const fb::PayloadUnion& payload);

}  // namespace papaya

#endif  // SRC_WIRE_PEER_CODECS_H_
