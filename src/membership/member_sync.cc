#include "src/membership/member_sync.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/membership/member_table.h"

namespace papaya {

namespace {

// Zones of `a` that `b` has not alike.
void AddZonesMissing(const MemberDigest& a,
                     const MemberDigest& b,
                     std::vector<AvailabilityZoneId>* zones) {
  for (const ZoneDigest& zone : a.zones) {
    if (std::find(b.zones.begin(), b.zones.end(), zone) == b.zones.end()) {
      zones->push_back(zone.zone);
    }
  }
}

}  // namespace

std::vector<AvailabilityZoneId> FindDifferingZones(const MemberDigest& a,
                                                   const MemberDigest& b) {
  std::vector<AvailabilityZoneId> zones;
  AddZonesMissing(a, b, &zones);
  AddZonesMissing(b, a, &zones);
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

MemberNews MakeRepairs(const MemberTable& table, const MemberStamps& message) {
  absl::flat_hash_map<uint64_t, MemberStamp> said;
  for (const MemberStamp& stamp : message.stamps) {
    said[stamp.key] = stamp;
  }
  MemberNews news;
  for (const MemberStamp& own : table.StampsOf(message.zones).stamps) {
    const auto theirs = said.find(own.key);
    const bool is_known = theirs != said.end();
    if (is_known && !IsNewer(own, theirs->second)) {
      continue;
    }
    if (is_known && theirs->second.incarnation == own.incarnation) {
      news.stamps.push_back(own);
    } else if (own.state != RouterState::kDead) {
      news.records.push_back(table.FindKey(own.key)->record);
    }
  }
  return news;
}

MemberNews MakeJoinAnswer(const MemberTable& table, const RouterId& joining) {
  MemberNews news;
  for (const auto& [id, member] : table.members()) {
    if (IsRunning(member.record) || id == joining) {
      news.records.push_back(member.record);
    }
  }
  return news;
}

MemberNews MakeRecords(const MemberTable& table, const MemberRequest& request) {
  MemberNews news;
  for (uint64_t key : request.keys) {
    const Member* member = table.FindKey(key);
    if (member != nullptr) {
      news.records.push_back(member->record);
    }
  }
  return news;
}

LostPeers FindLostPeers(const MemberTable& table,
                        const std::vector<std::string>& seeds,
                        const std::set<RouterId>& vm_list) {
  std::vector<std::string> open_seeds = seeds;
  std::vector<PeerAddress> listed;
  LostPeers lost;
  for (const auto& [id, member] : table.members()) {
    if (IsRunning(member.record)) {
      std::erase(open_seeds, member.record.address);
      continue;
    }
    lost.dead.push_back({id, member.record.address});
    if (vm_list.contains(id)) {
      listed.push_back(lost.dead.back());
    }
  }
  if (!listed.empty()) {
    lost.dead = std::move(listed);
  }
  for (const std::string& seed : open_seeds) {
    lost.seeds.push_back({RouterId(), seed});
  }
  return lost;
}

}  // namespace papaya
