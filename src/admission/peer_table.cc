#include "src/admission/peer_table.h"

#include <utility>

namespace papaya {

namespace {

constexpr int kRetainedLifetimes = 10;

}  // namespace

bool PeerTable::Update(const DemandReport& report, TimePoint now) {
  auto found = peers_.find(report.router);
  if (found == peers_.end()) {
    if (peers_.size() >= kMaxPeers) {
      return false;
    }
    peers_[report.router] = {report, now};
    return true;
  }
  Peer& peer = found->second;
  const std::pair<Incarnation, uint64_t> known(peer.report.incarnation,
                                               peer.report.sequence);
  // A router's clock, from which incarnations are made, may have been set back
  // between two of its starts.
  const bool is_clock_set_back =
      report.incarnation < known.first && now - peer.arrival > lifetime_;
  if (!is_clock_set_back &&
      std::pair(report.incarnation, report.sequence) <= known) {
    return false;
  }
  peer = {report, now};
  return true;
}

const DemandReport* PeerTable::Find(const RouterId& router,
                                    TimePoint now) const {
  auto found = peers_.find(router);
  if (found == peers_.end() || now - found->second.arrival > lifetime_) {
    return nullptr;
  }
  return &found->second.report;
}

void PeerTable::ForEach(
    TimePoint now,
    const std::function<void(const DemandReport&)>& visit) const {
  for (const auto& [router, peer] : peers_) {
    if (now - peer.arrival <= lifetime_) {
      visit(peer.report);
    }
  }
}

void PeerTable::RemoveExpired(TimePoint now) {
  std::erase_if(peers_, [this, now](const auto& item) {
    return now - item.second.arrival > lifetime_ * kRetainedLifetimes;
  });
}

}  // namespace papaya
