#include "include/wire/peer_codec.h"

#include <memory>
#include <utility>

#include "include/base/error.h"
#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

// A verifier goes no deeper and visits no more tables than these.
constexpr int kMaxDepth = 16;
constexpr int kMaxTables = 100000;

// One overload a member of PeerMessage.
fb::PayloadUnion EncodePayload(const MemberMessage& message) {
  return EncodeMemberMessage(message);
}
fb::PayloadUnion EncodePayload(const ConfigMessage& message) {
  return EncodeConfigMessage(message);
}
fb::PayloadUnion EncodePayload(const StatsReport& report) {
  return EncodeStatsReport(report);
}
fb::PayloadUnion EncodePayload(const DemandNotice& notice) {
  return EncodeDemandNotice(notice);
}
fb::PayloadUnion EncodePayload(const UsageReport& report) {
  return EncodeUsageMessage(report);
}
fb::PayloadUnion EncodePayload(const UsageTotals& totals) {
  return EncodeUsageMessage(totals);
}
fb::PayloadUnion EncodePayload(const FeedRequest& request) {
  return EncodeFeedMessage(request);
}
fb::PayloadUnion EncodePayload(const FeedUpdate& update) {
  return EncodeFeedMessage(update);
}
fb::PayloadUnion EncodePayload(const CrashNews& news) {
  return EncodeCrashNews(news);
}
fb::PayloadUnion EncodePayload(const MoveApproval& approval) {
  return EncodeMoveApproval(approval);
}
template <typename OnceMessage>
fb::PayloadUnion EncodePayload(const OnceMessage& message) {
  return EncodeOnceMessage(message);
}

template <typename Message>
std::optional<PeerMessage> Widen(std::optional<Message> message) {
  if (!message.has_value()) {
    return std::nullopt;
  }
  return PeerMessage(std::move(*message));
}

std::optional<PeerMessage> DecodePayload(const fb::PayloadUnion& payload) {
  std::optional<PeerMessage> message = Widen(DecodeMemberMessage(payload));
  if (!message.has_value()) {
    message = Widen(DecodeConfigMessage(payload));
  }
  if (!message.has_value()) {
    message = Widen(DecodeStatsReport(payload));
  }
  if (!message.has_value()) {
    message = Widen(DecodeDemandNotice(payload));
  }
  if (!message.has_value()) {
    message = DecodeOnceMessage(payload);
  }
  if (!message.has_value()) {
    message = DecodeUsageMessage(payload);
  }
  if (!message.has_value()) {
    message = DecodeFeedMessage(payload);
  }
  if (!message.has_value()) {
    message = Widen(DecodeCrashNews(payload));
  }
  if (!message.has_value()) {
    message = Widen(DecodeMoveApproval(payload));
  }
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  fb::PeerFrameT frame;
  frame.payload =
      std::visit([](const auto& one) { return EncodePayload(one); }, message);
  flatbuffers::FlatBufferBuilder builder;
  fb::FinishPeerFrameBuffer(builder, fb::PeerFrame::Pack(builder, &frame));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

absl::StatusOr<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  const uint8_t* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size(), kMaxDepth, kMaxTables);
  std::optional<PeerMessage> message;
  if (fb::VerifyPeerFrameBuffer(verifier)) {
    const std::unique_ptr<fb::PeerFrameT> frame = fb::UnPackPeerFrame(data);
    if (frame->payload.type > fb::Payload::MAX) {
      return MakeError(absl::StatusCode::kUnimplemented,
                       {.step = "peer.decode"}, "is of a later release");
    }
    message = DecodePayload(frame->payload);
  }
  if (!message.has_value()) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     {.step = "peer.decode"}, "is no message of this fleet");
  }
  return std::move(*message);
}

}  // namespace papaya
