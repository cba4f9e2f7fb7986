#include "include/admission/demand_packing.h"

#include <algorithm>
#include <cstddef>
#include <limits>

#include "include/base/encoded_size.h"

namespace papaya {

namespace {

constexpr int kBitsPerByte = 8;
constexpr uint64_t kByteMask = 0xff;

// A varint holds seven bits in each byte, lowest first. All bytes but the last
// have the highest bit set.
constexpr int kVarintBits = 7;
constexpr uint64_t kVarintMask = 0x7f;
constexpr uint64_t kVarintMore = 0x80;
constexpr int kMaxVarintShift = 63;

// The head byte of a group holds its short tier plus one (0 for none) in the
// low half, and one bit for each tier with demand in the high half.
constexpr int kHalfBits = 4;
constexpr uint64_t kHalfMask = 0xf;
static_assert(kTierCount <= kHalfBits);
// The byte of a tier holds `running` in the low and `waiting` in the high half.
// If either exceeds kMaxHalf, the byte is kLargeTier and two varints follow.
constexpr int32_t kMaxHalf = 14;
constexpr uint64_t kLargeTier = 0xff;

// Flags in the lowest bits of the varint with an upstream's `running`.
constexpr uint64_t kEjected = 1;
constexpr uint64_t kLeaving = 2;
constexpr int kFlagBits = 2;

void AddFixed(uint64_t value, size_t size, std::string* bytes) {
  for (size_t i = 0; i < size; ++i) {
    *bytes += static_cast<char>(value & kByteMask);
    value >>= kBitsPerByte;
  }
}

void AddVarint(uint64_t value, std::string* bytes) {
  while (value > kVarintMask) {
    *bytes += static_cast<char>((value & kVarintMask) | kVarintMore);
    value >>= kVarintBits;
  }
  *bytes += static_cast<char>(value);
}

uint64_t NonNegative(int32_t value) {
  return static_cast<uint64_t>(std::max(value, 0));
}

void AddTier(const TierDemand& tier, std::string* bytes) {
  const uint64_t running = NonNegative(tier.running);
  const uint64_t waiting = NonNegative(tier.waiting);
  if (std::max(tier.running, tier.waiting) <= kMaxHalf) {
    AddFixed(running | (waiting << kHalfBits), 1, bytes);
    return;
  }
  AddFixed(kLargeTier, 1, bytes);
  AddVarint(running, bytes);
  AddVarint(waiting, bytes);
}

void AddGroup(const GroupNotice& group, std::string* bytes) {
  uint64_t head =
      group.short_tier.has_value() ? TierIndex(*group.short_tier) + 1 : 0;
  for (size_t i = 0; i < kTierCount; ++i) {
    const bool has_any = group.tiers[i] != TierDemand();
    head |= (has_any ? uint64_t{1} : 0) << (kHalfBits + i);
  }
  AddFixed(group.group.value(), sizeof(uint32_t), bytes);
  AddFixed(head, 1, bytes);
  for (const TierDemand& tier : group.tiers) {
    if (tier != TierDemand()) {
      AddTier(tier, bytes);
    }
  }
}

void AddUpstream(const UpstreamNotice& use, std::string* bytes) {
  AddFixed(use.upstream.value(), sizeof(uint32_t), bytes);
  AddVarint((NonNegative(use.running) << kFlagBits) |
                (use.ejected ? kEjected : 0) | (use.leaving ? kLeaving : 0),
            bytes);
  AddVarint(static_cast<uint64_t>(std::max<int64_t>(
                use.pending_prefill.value() / kPrefillGranularity.value(), 0)),
            bytes);
}

// Reads the output of the functions above. After an error all values read as 0
// and is_valid() is false.
class DemandReader {
 public:
  explicit DemandReader(const std::string* bytes) : bytes_(bytes) {}

  bool is_valid() const { return is_valid_; }
  bool is_at_end() const { return offset_ == bytes_->size(); }

  uint64_t ReadFixed(size_t size) {
    if (!is_valid_ || bytes_->size() - offset_ < size) {
      is_valid_ = false;
      return 0;
    }
    uint64_t value = 0;
    for (size_t i = 0; i < size; ++i) {
      value |= ReadByte() << (kBitsPerByte * i);
    }
    return value;
  }

  uint64_t ReadVarint() {
    uint64_t value = 0;
    for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
      const uint64_t byte = ReadFixed(1);
      value |= (byte & kVarintMask) << shift;
      if ((byte & kVarintMore) == 0) {
        return is_valid_ ? value : 0;
      }
    }
    is_valid_ = false;
    return 0;
  }

  // Reads a varint; a value above `limit` is an error.
  uint64_t ReadUpTo(uint64_t limit) {
    const uint64_t value = ReadVarint();
    is_valid_ = is_valid_ && value <= limit;
    return is_valid_ ? value : 0;
  }

 private:
  uint64_t ReadByte() {
    return static_cast<unsigned char>((*bytes_)[offset_++]);
  }

  const std::string* bytes_;
  size_t offset_ = 0;
  bool is_valid_ = true;
};

constexpr uint64_t kMaxCount = std::numeric_limits<int32_t>::max();

TierDemand ReadTier(DemandReader* reader) {
  const uint64_t byte = reader->ReadFixed(1);
  uint64_t running = byte & kHalfMask;
  uint64_t waiting = byte >> kHalfBits;
  if (byte == kLargeTier) {
    running = reader->ReadUpTo(kMaxCount);
    waiting = reader->ReadUpTo(kMaxCount);
  }
  return {.running = static_cast<int32_t>(running),
          .waiting = static_cast<int32_t>(waiting)};
}

// Returns nullopt if the short tier is out of range.
std::optional<GroupNotice> ReadGroup(DemandReader* reader) {
  GroupNotice group{.group = NameHash(static_cast<uint32_t>(
                        reader->ReadFixed(sizeof(uint32_t))))};
  const uint64_t head = reader->ReadFixed(1);
  const uint64_t short_tier = head & kHalfMask;
  if (short_tier > kTierCount) {
    return std::nullopt;
  }
  if (short_tier > 0) {
    group.short_tier = kAllTiers[short_tier - 1];
  }
  for (size_t i = 0; i < kTierCount; ++i) {
    if ((head >> (kHalfBits + i) & 1) != 0) {
      group.tiers[i] = ReadTier(reader);
    }
  }
  return group;
}

UpstreamNotice ReadUpstream(DemandReader* reader) {
  constexpr uint64_t kMaxGranules =
      static_cast<uint64_t>(std::numeric_limits<int32_t>::max());
  UpstreamNotice use{.upstream = NameHash(static_cast<uint32_t>(
                         reader->ReadFixed(sizeof(uint32_t))))};
  const uint64_t flagged =
      reader->ReadUpTo((kMaxCount << kFlagBits) | kEjected | kLeaving);
  use.running = static_cast<int32_t>(flagged >> kFlagBits);
  use.ejected = (flagged & kEjected) != 0;
  use.leaving = (flagged & kLeaving) != 0;
  use.pending_prefill =
      Tokens(static_cast<int64_t>(reader->ReadUpTo(kMaxGranules)) *
             kPrefillGranularity.value());
  return use;
}

}  // namespace

std::string PackDemand(const DemandNotice& notice) {
  std::string bytes;
  AddFixed(notice.incarnation.value(), sizeof(uint64_t), &bytes);
  AddVarint(notice.sequence, &bytes);
  AddVarint(notice.groups.size(), &bytes);
  for (const GroupNotice& group : notice.groups) {
    AddGroup(group, &bytes);
  }
  AddVarint(notice.upstreams.size(), &bytes);
  for (const UpstreamNotice& use : notice.upstreams) {
    AddUpstream(use, &bytes);
  }
  return bytes;
}

std::optional<DemandNotice> UnpackDemand(const std::string& bytes) {
  DemandReader reader(&bytes);
  DemandNotice notice;
  notice.incarnation = Incarnation(reader.ReadFixed(sizeof(uint64_t)));
  notice.sequence = reader.ReadVarint();
  // If the count exceeds the number of entries, reading stops at the first
  // missing byte.
  for (uint64_t left = reader.ReadVarint(); left > 0 && reader.is_valid();
       --left) {
    std::optional<GroupNotice> group = ReadGroup(&reader);
    if (!group.has_value()) {
      return std::nullopt;
    }
    notice.groups.push_back(*group);
  }
  for (uint64_t left = reader.ReadVarint(); left > 0 && reader.is_valid();
       --left) {
    notice.upstreams.push_back(ReadUpstream(&reader));
  }
  if (!reader.is_valid() || !reader.is_at_end()) {
    return std::nullopt;
  }
  return notice;
}

Bytes DemandWireSize(const DemandParts& parts) {
  size_t sum = 0;
  for (const auto& [router, part] : parts) {
    sum += kFrameBytes + kTableBytes + kVectorBytes +
           PackDemand(MakeDemandNotice(part)).size();
  }
  return Bytes(static_cast<int64_t>(sum));
}

}  // namespace papaya
