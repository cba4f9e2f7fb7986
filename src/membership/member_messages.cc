#include "include/membership/member_messages.h"

#include <numeric>

#include "include/base/encoded_size.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Stamps are fixed-size structs in place.
constexpr size_t kStampBytes = 24;

size_t PartBytes(const MemberRecord& record) {
  return kTableBytes + kStampBytes + EncodedStringBytes(record.id.value()) +
         EncodedStringBytes(record.address) +
         EncodedStringBytes(record.region.value()) +
         EncodedStringBytes(record.zone.value());
}

size_t PartBytes(const MemberStamp&) {
  return kStampBytes;
}

size_t PartBytes(const ZoneDigest& digest) {
  return kTableBytes + kNumberBytes + EncodedStringBytes(digest.zone.value());
}

size_t PartBytes(const AvailabilityZoneId& zone) {
  return EncodedStringBytes(zone.value());
}

size_t PartBytes(uint64_t) {
  return kNumberBytes;
}

template <typename T>
size_t VectorBytes(const std::vector<T>& items) {
  return std::accumulate(
      items.begin(), items.end(), kVectorBytes,
      [](size_t sum, const T& item) { return sum + PartBytes(item); });
}

size_t BodyBytes(const Probe&) {
  return kNumberBytes + kStampBytes;
}

size_t BodyBytes(const ProbeAck&) {
  return kNumberBytes + kStampBytes;
}

size_t BodyBytes(const ProbeRequest& message) {
  return kNumberBytes + EncodedStringBytes(message.target.value());
}

size_t BodyBytes(const MemberNews& message) {
  return VectorBytes(message.records) + VectorBytes(message.stamps);
}

size_t BodyBytes(const MemberJoin& message) {
  return PartBytes(message.sender);
}

size_t BodyBytes(const MemberRequest& message) {
  return VectorBytes(message.keys);
}

size_t BodyBytes(const MemberDigest& message) {
  return kNumberBytes + VectorBytes(message.zones);
}

size_t BodyBytes(const MemberStamps& message) {
  return VectorBytes(message.zones) + VectorBytes(message.stamps);
}

}  // namespace

uint64_t MemberKey(const RouterId& router) {
  return StableHash(router.value());
}

MemberStamp StampOf(const MemberRecord& record) {
  return {.key = MemberKey(record.id),
          .incarnation = record.incarnation,
          .refutations = record.refutations,
          .state = record.state};
}

size_t EncodedSize(const MemberMessage& message) {
  return kFrameBytes +
         std::visit([](const auto& body) { return BodyBytes(body); }, message);
}

}  // namespace papaya
