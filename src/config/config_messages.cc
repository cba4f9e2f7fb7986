#include "include/config/config_messages.h"

#include <numeric>

#include "include/base/encoded_size.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

size_t PartBytes(const UpstreamId& id) {
  return EncodedStringBytes(id.value());
}

size_t PartBytes(const UpstreamSpec& upstream) {
  return kTableBytes + kNumberBytes + EncodedStringBytes(upstream.id.value()) +
         EncodedStringBytes(upstream.vm.value()) +
         EncodedStringBytes(upstream.address) +
         EncodedStringBytes(upstream.zone.value()) +
         EncodedStringBytes(upstream.pool.value()) +
         EncodedStringBytes(upstream.version.value()) +
         EncodedStringBytes(upstream.generation.value());
}

size_t PartBytes(const VersionShare& share) {
  return kTableBytes + kNumberBytes + EncodedStringBytes(share.pool.value()) +
         EncodedStringBytes(share.version.value());
}

size_t PartBytes(const StoppedVersion& fact) {
  return kTableBytes + kNumberBytes + EncodedStringBytes(fact.note.value()) +
         EncodedStringBytes(fact.pool.value()) +
         EncodedStringBytes(fact.version.value()) +
         EncodedStringBytes(fact.upstream.value()) +
         EncodedStringBytes(fact.reason);
}

size_t PartBytes(const LeavingUpstream& fact) {
  return kTableBytes + kNumberBytes + EncodedStringBytes(fact.id.value());
}

size_t PartBytes(const AppliedGroup& group) {
  return kTableBytes + kNumberBytes + kVectorBytes +
         kNumberBytes * group.routers.size();
}

size_t PartBytes(const ConfigDelta& delta);

template <typename T>
size_t VectorBytes(const std::vector<T>& items) {
  return std::accumulate(
      items.begin(), items.end(), kVectorBytes,
      [](size_t sum, const T& item) { return sum + PartBytes(item); });
}

size_t PartBytes(const ConfigDelta& delta) {
  return kTableBytes + 4 * kNumberBytes +
         EncodedStringBytes(delta.note.value()) + VectorBytes(delta.changed) +
         VectorBytes(delta.removed) + VectorBytes(delta.shares);
}

size_t BodyBytes(const ConfigDigest&) {
  return 5 * kNumberBytes;
}

size_t BodyBytes(const ConfigRequest&) {
  return 2 * kNumberBytes;
}

size_t BodyBytes(const ConfigDeltas& message) {
  return VectorBytes(message.deltas);
}

size_t BodyBytes(const ConfigSnapshot& message) {
  return 2 * kNumberBytes + EncodedStringBytes(message.config->note.value()) +
         VectorBytes(message.config->upstreams) +
         VectorBytes(message.config->shares);
}

size_t BodyBytes(const FactNews& message) {
  return VectorBytes(message.stopped) + VectorBytes(message.leaving);
}

size_t BodyBytes(const AppliedNews& message) {
  return VectorBytes(message.groups);
}

}  // namespace

uint64_t RouterKey(const RouterId& router, Incarnation incarnation) {
  return StableHash(router.value(), incarnation.value());
}

size_t EncodedSize(const ConfigMessage& message) {
  return kFrameBytes +
         std::visit([](const auto& body) { return BodyBytes(body); }, message);
}

}  // namespace papaya
