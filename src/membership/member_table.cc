#include "src/membership/member_table.h"

#include <algorithm>
#include <tuple>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

auto OrderOf(const MemberStamp& stamp) {
  return std::make_tuple(stamp.incarnation, stamp.refutations, stamp.state);
}

uint64_t HashStamp(const MemberStamp& stamp) {
  uint64_t hash = CombineHashes(stamp.key, stamp.incarnation.value());
  hash = CombineHashes(hash, stamp.refutations);
  return CombineHashes(hash, static_cast<uint64_t>(stamp.state));
}

}  // namespace

bool IsNewer(const MemberStamp& a, const MemberStamp& b) {
  return OrderOf(a) > OrderOf(b);
}

MemberTable::Outcome MemberTable::Apply(const MemberRecord& record,
                                        TimePoint now) {
  const auto found = members_.find(record.id);
  if (found == members_.end()) {
    return Insert(record, now);
  }
  Member& member = found->second;
  const MemberStamp known = StampOf(member.record);
  const MemberStamp said = StampOf(record);
  if (IsNewer(said, known)) {
    member = {.record = record, .since = now};
    is_digest_stale_ = true;
    return Outcome::kChanged;
  }
  return IsNewer(known, said) ? Outcome::kOlder : Outcome::kSame;
}

MemberTable::Outcome MemberTable::Apply(const MemberStamp& stamp,
                                        TimePoint now) {
  const auto found = by_key_.find(stamp.key);
  if (found == by_key_.end()) {
    return stamp.state == RouterState::kDead ? Outcome::kIgnored
                                             : Outcome::kUnknown;
  }
  Member& member = *found->second;
  const MemberStamp known = StampOf(member.record);
  if (!IsNewer(stamp, known)) {
    return IsNewer(known, stamp) ? Outcome::kOlder : Outcome::kSame;
  }
  const bool is_other_process = stamp.incarnation != known.incarnation;
  if (is_other_process && stamp.state != RouterState::kDead) {
    return Outcome::kUnknown;
  }
  member.record.incarnation = stamp.incarnation;
  member.record.refutations = stamp.refutations;
  member.record.state = stamp.state;
  member.since = now;
  is_digest_stale_ = true;
  return Outcome::kChanged;
}

const Member* MemberTable::Find(const RouterId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::FindKey(uint64_t key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const MemberDigest& MemberTable::Digest() const {
  if (!is_digest_stale_) {
    return digest_;
  }
  is_digest_stale_ = false;
  std::map<AvailabilityZoneId, uint64_t> zones;
  for (const auto& [id, member] : members_) {
    if (member.record.state != RouterState::kDead) {
      zones[member.record.zone] ^= HashStamp(StampOf(member.record));
    }
  }
  digest_ = {};
  for (const auto& [zone, hash] : zones) {
    digest_.hash = CombineHashes(digest_.hash, hash);
    digest_.zones.push_back({zone, hash});
  }
  return digest_;
}

MemberStamps MemberTable::StampsOf(
    const std::vector<AvailabilityZoneId>& zones) const {
  MemberStamps message{.zones = zones};
  for (const auto& [id, member] : members_) {
    if (std::find(zones.begin(), zones.end(), member.record.zone) !=
        zones.end()) {
      message.stamps.push_back(StampOf(member.record));
    }
  }
  return message;
}

void MemberTable::ForgetDead(TimePoint before) {
  std::vector<RouterId> old;
  for (const auto& [id, member] : members_) {
    if (member.record.state == RouterState::kDead && member.since < before) {
      old.push_back(id);
    }
  }
  for (const RouterId& id : old) {
    Forget(id);
  }
}

void MemberTable::Shift(Duration pause) {
  for (auto& [id, member] : members_) {
    member.since += pause;
  }
}

MemberTable::Outcome MemberTable::Insert(const MemberRecord& record,
                                         TimePoint now) {
  if (record.state == RouterState::kDead) {
    return Outcome::kIgnored;
  }
  if (members_.size() >= max_members_ && !ForgetOldestDead()) {
    return Outcome::kIgnored;
  }
  Member& member = members_[record.id];
  member = {.record = record, .since = now};
  by_key_[MemberKey(record.id)] = &member;
  is_digest_stale_ = true;
  return Outcome::kChanged;
}

bool MemberTable::ForgetOldestDead() {
  const Member* oldest = nullptr;
  for (const auto& [id, member] : members_) {
    const bool is_dead = member.record.state == RouterState::kDead;
    if (is_dead && (oldest == nullptr || member.since < oldest->since)) {
      oldest = &member;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  Forget(RouterId(oldest->record.id));
  return true;
}

void MemberTable::Forget(const RouterId& id) {
  by_key_.erase(MemberKey(id));
  members_.erase(id);
}

}  // namespace papaya
