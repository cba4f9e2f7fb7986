#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

std::optional<RouterState> DecodeState(uint8_t state) {
  if (state > static_cast<uint8_t>(RouterState::kDead)) {
    return std::nullopt;
  }
  return static_cast<RouterState>(state);
}

fb::MemberStamp EncodeStamp(const MemberStamp& stamp) {
  return {stamp.key, stamp.incarnation.value(), stamp.refutations,
          static_cast<uint8_t>(stamp.state)};
}

std::optional<MemberStamp> DecodeStamp(const fb::MemberStamp& stamp) {
  const std::optional<RouterState> state = DecodeState(stamp.state());
  if (!state.has_value()) {
    return std::nullopt;
  }
  return MemberStamp{.key = stamp.key(),
                     .incarnation = Incarnation(stamp.incarnation()),
                     .refutations = stamp.refutations(),
                     .state = *state};
}

std::unique_ptr<fb::MemberRecordT> EncodeRecord(const MemberRecord& record) {
  auto encoded = std::make_unique<fb::MemberRecordT>();
  encoded->id = record.id.value();
  encoded->incarnation = record.incarnation.value();
  encoded->refutations = record.refutations;
  encoded->state = static_cast<uint8_t>(record.state);
  encoded->address = record.address;
  encoded->region = record.region.value();
  encoded->zone = record.zone.value();
  return encoded;
}

std::optional<MemberRecord> DecodeRecord(const fb::MemberRecordT& encoded) {
  const std::optional<RouterState> state = DecodeState(encoded.state);
  if (!state.has_value() || encoded.id.empty()) {
    return std::nullopt;
  }
  return MemberRecord{.id = RouterId(encoded.id),
                      .incarnation = Incarnation(encoded.incarnation),
                      .refutations = encoded.refutations,
                      .state = *state,
                      .address = encoded.address,
                      .region = RegionId(encoded.region),
                      .zone = AvailabilityZoneId(encoded.zone)};
}

std::vector<fb::MemberStamp> EncodeStamps(
    const std::vector<MemberStamp>& stamps) {
  std::vector<fb::MemberStamp> encoded;
  encoded.reserve(stamps.size());
  for (const MemberStamp& stamp : stamps) {
    encoded.push_back(EncodeStamp(stamp));
  }
  return encoded;
}

std::optional<std::vector<MemberStamp>> DecodeStamps(
    const std::vector<fb::MemberStamp>& encoded) {
  std::vector<MemberStamp> stamps;
  stamps.reserve(encoded.size());
  for (const fb::MemberStamp& one : encoded) {
    const std::optional<MemberStamp> stamp = DecodeStamp(one);
    if (!stamp.has_value()) {
      return std::nullopt;
    }
    stamps.push_back(*stamp);
  }
  return stamps;
}

// One overload a message gives its table.

fb::ProbeT Encode(const Probe& probe) {
  fb::ProbeT encoded;
  encoded.sequence = probe.sequence;
  encoded.sender = std::make_unique<fb::MemberStamp>(EncodeStamp(probe.sender));
  return encoded;
}

fb::ProbeAckT Encode(const ProbeAck& ack) {
  fb::ProbeAckT encoded;
  encoded.sequence = ack.sequence;
  encoded.target = std::make_unique<fb::MemberStamp>(EncodeStamp(ack.target));
  return encoded;
}

fb::ProbeRequestT Encode(const ProbeRequest& request) {
  fb::ProbeRequestT encoded;
  encoded.sequence = request.sequence;
  encoded.target = request.target.value();
  return encoded;
}

fb::MemberNewsT Encode(const MemberNews& news) {
  fb::MemberNewsT encoded;
  for (const MemberRecord& record : news.records) {
    encoded.records.push_back(EncodeRecord(record));
  }
  encoded.stamps = EncodeStamps(news.stamps);
  return encoded;
}

fb::MemberJoinT Encode(const MemberJoin& join) {
  fb::MemberJoinT encoded;
  encoded.sender = EncodeRecord(join.sender);
  return encoded;
}

fb::MemberRequestT Encode(const MemberRequest& request) {
  fb::MemberRequestT encoded;
  encoded.keys = request.keys;
  return encoded;
}

fb::MemberDigestT Encode(const MemberDigest& digest) {
  fb::MemberDigestT encoded;
  encoded.hash = digest.hash;
  for (const ZoneDigest& zone : digest.zones) {
    auto one = std::make_unique<fb::ZoneDigestT>();
    one->zone = zone.zone.value();
    one->hash = zone.hash;
    encoded.zones.push_back(std::move(one));
  }
  return encoded;
}

fb::MemberStampsT Encode(const MemberStamps& message) {
  fb::MemberStampsT encoded;
  for (const AvailabilityZoneId& zone : message.zones) {
    encoded.zones.push_back(zone.value());
  }
  encoded.stamps = EncodeStamps(message.stamps);
  return encoded;
}

// One overload a table gives its message.

std::optional<MemberMessage> Decode(const fb::ProbeT& encoded) {
  const std::optional<MemberStamp> sender =
      encoded.sender ? DecodeStamp(*encoded.sender) : std::nullopt;
  if (!sender.has_value()) {
    return std::nullopt;
  }
  return Probe{.sequence = encoded.sequence, .sender = *sender};
}

std::optional<MemberMessage> Decode(const fb::ProbeAckT& encoded) {
  const std::optional<MemberStamp> target =
      encoded.target ? DecodeStamp(*encoded.target) : std::nullopt;
  if (!target.has_value()) {
    return std::nullopt;
  }
  return ProbeAck{.sequence = encoded.sequence, .target = *target};
}

std::optional<MemberMessage> Decode(const fb::ProbeRequestT& encoded) {
  return ProbeRequest{.sequence = encoded.sequence,
                      .target = RouterId(encoded.target)};
}

std::optional<MemberMessage> Decode(const fb::MemberNewsT& encoded) {
  MemberNews news;
  for (const auto& one : encoded.records) {
    std::optional<MemberRecord> record = DecodeRecord(*one);
    if (!record.has_value()) {
      return std::nullopt;
    }
    news.records.push_back(std::move(*record));
  }
  std::optional<std::vector<MemberStamp>> stamps = DecodeStamps(encoded.stamps);
  if (!stamps.has_value()) {
    return std::nullopt;
  }
  news.stamps = std::move(*stamps);
  return news;
}

std::optional<MemberMessage> Decode(const fb::MemberJoinT& encoded) {
  std::optional<MemberRecord> sender =
      encoded.sender ? DecodeRecord(*encoded.sender) : std::nullopt;
  if (!sender.has_value()) {
    return std::nullopt;
  }
  return MemberJoin{.sender = std::move(*sender)};
}

std::optional<MemberMessage> Decode(const fb::MemberRequestT& encoded) {
  return MemberRequest{.keys = encoded.keys};
}

std::optional<MemberMessage> Decode(const fb::MemberDigestT& encoded) {
  MemberDigest digest{.hash = encoded.hash};
  for (const auto& zone : encoded.zones) {
    digest.zones.push_back(
        {.zone = AvailabilityZoneId(zone->zone), .hash = zone->hash});
  }
  return digest;
}

std::optional<MemberMessage> Decode(const fb::MemberStampsT& encoded) {
  MemberStamps message;
  for (const std::string& zone : encoded.zones) {
    message.zones.emplace_back(zone);
  }
  std::optional<std::vector<MemberStamp>> stamps = DecodeStamps(encoded.stamps);
  if (!stamps.has_value()) {
    return std::nullopt;
  }
  message.stamps = std::move(*stamps);
  return message;
}

}  // namespace

fb::PayloadUnion EncodeMemberMessage(const MemberMessage& message) {
  fb::PayloadUnion payload;
  std::visit([&payload](const auto& one) { payload.Set(Encode(one)); },
             message);
  return payload;
}

std::optional<MemberMessage> DecodeMemberMessage(
    const fb::PayloadUnion& payload) {
  switch (payload.type) {
    case fb::Payload::Probe:
      return Decode(*payload.AsProbe());
    case fb::Payload::ProbeAck:
      return Decode(*payload.AsProbeAck());
    case fb::Payload::ProbeRequest:
      return Decode(*payload.AsProbeRequest());
    case fb::Payload::MemberNews:
      return Decode(*payload.AsMemberNews());
    case fb::Payload::MemberJoin:
      return Decode(*payload.AsMemberJoin());
    case fb::Payload::MemberRequest:
      return Decode(*payload.AsMemberRequest());
    case fb::Payload::MemberDigest:
      return Decode(*payload.AsMemberDigest());
    case fb::Payload::MemberStamps:
      return Decode(*payload.AsMemberStamps());
    default:
      return std::nullopt;
  }
}

}  // namespace papaya
