#include "include/membership/membership.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/membership/member_sync.h"
#include "src/membership/member_table.h"
#include "src/membership/prober.h"
#include "src/membership/view_keeper.h"

namespace papaya {

namespace {

// Routers asked to probe one that does not answer.
constexpr size_t kHelpers = 3;
constexpr Duration kRelayLifetime = std::chrono::seconds(2);
// Routers told of in one tick; the rest waits for the next.
constexpr size_t kMaxNewsPerTick = 16;
constexpr Duration kForgetPeriod = std::chrono::seconds(30);
// From one seed to the next while no other router is known.
constexpr Duration kJoinPeriod = std::chrono::seconds(1);
// A gap between ticks above this means that the process was paused.
constexpr Duration kPauseLimit = std::chrono::milliseconds(600);
constexpr double kPeriodSpread = 0.2;
// Time within which a router calls one of its changed seeds, or of the routers
// that it has just taken for dead.
constexpr Duration kFirstCallSpread = std::chrono::seconds(1);

}  // namespace

Membership::Membership(Options options,
                       Hooks hooks,
                       Random random,
                       TimePoint now)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(random),
      seeds_(options_.seeds),
      now_(now),
      last_tick_(now),
      table_(std::make_unique<MemberTable>(kMaxMembers)) {
  table_->Apply(MemberRecord{.id = options_.self,
                             .incarnation = options_.incarnation,
                             .address = options_.address,
                             .region = options_.region,
                             .zone = options_.zone},
                now);
  own_ = table_->Find(options_.self);
  view_ = std::make_unique<ViewKeeper>(options_.self, options_.overlay);
  prober_ = std::make_unique<Prober>(
      options_.probe_period,
      Prober::Hooks{
          .probe =
              [this](const RouterId& target, uint64_t sequence) {
                Send(target, Probe{sequence, OwnStamp()});
              },
          .introduce =
              [this](const RouterId& target) {
                Send(target, MemberNews{.records = {Own()}});
              },
          .ask_others =
              [this](const RouterId& target, uint64_t sequence) {
                for (const RouterId& helper : PickHelpers(target)) {
                  Send(helper, ProbeRequest{sequence, target});
                }
              },
          .failed = [this](const RouterId& target) { Suspect(target); }},
      Random(random_.Next64()));
}

Membership::~Membership() = default;

void Membership::OnMessage(const RouterId& from,
                           const MemberMessage& message,
                           TimePoint now) {
  now_ = now;
  std::visit([&](const auto& body) { Handle(from, body); }, message);
}

void Membership::OnTick(TimePoint now) {
  now_ = now;
  SkipPause();
  prober_->OnTick(now);
  BurySuspects();
  FlushNews();
  RefreshView();
  SendDigest();
  JoinNextSeed();
  Reconnect();
}

void Membership::OnVmList(const std::vector<RouterId>& running, TimePoint now) {
  now_ = now;
  vm_list_ = {running.begin(), running.end()};
  std::erase_if(listed_once_, [this](const RouterId& id) {
    return table_->Find(id) == nullptr;
  });
  for (const RouterId& id : running) {
    if (table_->Find(id) != nullptr) {
      listed_once_.insert(id);
    }
  }
}

void Membership::SetSeeds(std::vector<std::string> seeds, TimePoint now) {
  now_ = now;
  seeds_ = std::move(seeds);
  next_seed_ = 0;
  next_join_ = now;
  // Spread, as all routers of a fleet may get new seeds at the same time.
  ReconnectWithin(kFirstCallSpread);
  is_seed_next_ = false;
}

void Membership::SetDraining(TimePoint now) {
  now_ = now;
  SetOwnState(RouterState::kDraining);
}

void Membership::Leave(TimePoint now) {
  now_ = now;
  SetOwnState(RouterState::kDead);
  SendToNeighbours(MemberNews{.stamps = {OwnStamp()}});
}

const FleetView& Membership::view() const {
  return view_->view();
}

Incarnation Membership::incarnation() const {
  return Own().incarnation;
}

void Membership::SetOwnState(RouterState state) {
  MemberRecord own = Own();
  own.state = state;
  ++own.refutations;
  SetOwn(own);
}

void Membership::SetOwn(const MemberRecord& record) {
  const bool is_new = record.incarnation != Own().incarnation;
  table_->Apply(record, now_);
  news_[record.id] |= is_new;
  view_->MarkStale();
}

const MemberRecord& Membership::Own() const {
  return own_->record;
}

MemberStamp Membership::OwnStamp() const {
  return StampOf(Own());
}

void Membership::OnChanged(const MemberRecord& record, bool is_new) {
  view_->MarkStale();
  news_[record.id] |= is_new;
  switch (record.state) {
    case RouterState::kAlive:
      if (is_new) {
        Log(EventId::kRouterJoined, record.id);
      }
      break;
    case RouterState::kDraining:
      Log(EventId::kRouterLeaving, record.id);
      break;
    case RouterState::kSuspect:
      suspects_.insert(record.id);
      break;
    case RouterState::kDead:
      Log(EventId::kRouterDead, record.id);
      break;
  }
}

void Membership::Suspect(const RouterId& id) {
  const Member* member = table_->Find(id);
  if (member == nullptr || member->record.state >= RouterState::kSuspect) {
    return;
  }
  MemberStamp stamp = StampOf(member->record);
  stamp.state = RouterState::kSuspect;
  table_->Apply(stamp, now_);
  Log(EventId::kRouterSuspected, id);
  OnChanged(member->record, /*is_new=*/false);
  Send(id, MemberNews{.stamps = {stamp}});
}

void Membership::BurySuspects() {
  std::vector<MemberStamp> due;
  for (auto id = suspects_.begin(); id != suspects_.end();) {
    const Member* member = table_->Find(*id);
    const bool is_suspect =
        member != nullptr && member->record.state == RouterState::kSuspect;
    if (is_suspect && now_ - member->since < SuspicionTime(*id)) {
      ++id;
      continue;
    }
    if (is_suspect) {
      due.push_back(StampOf(member->record));
    }
    id = suspects_.erase(id);
  }
  for (MemberStamp& stamp : due) {
    stamp.state = RouterState::kDead;
    table_->Apply(stamp, now_);
    OnChanged(table_->FindKey(stamp.key)->record, /*is_new=*/false);
  }
  if (!due.empty()) {
    // One that lives is called soon, as only its connections may be dead.
    ReconnectWithin(kFirstCallSpread);
  }
}

void Membership::ReconnectWithin(Duration spread) {
  next_reconnect_ =
      std::min(next_reconnect_,
               now_ + SecondsToDuration(ToSeconds(spread) * random_.Uniform()));
}

Duration Membership::SuspicionTime(const RouterId& id) const {
  const bool is_gone = listed_once_.contains(id) && !vm_list_.contains(id);
  return is_gone ? options_.suspicion_time / 2 : options_.suspicion_time;
}

void Membership::FlushNews() {
  if (news_.empty()) {
    return;
  }
  MemberNews news;
  for (size_t i = 0; i < kMaxNewsPerTick && !news_.empty(); ++i) {
    const auto own = news_.find(options_.self);
    const auto next = own != news_.end() ? own : news_.begin();
    const Member* member = table_->Find(next->first);
    if (member != nullptr && next->second) {
      news.records.push_back(member->record);
    } else if (member != nullptr) {
      news.stamps.push_back(StampOf(member->record));
    }
    news_.erase(next);
  }
  SendToNeighbours(news);
}

void Membership::SendDigest() {
  if (now_ < next_digest_) {
    return;
  }
  next_digest_ = now_ + random_.Jitter(options_.digest_period, kPeriodSpread);
  if (now_ >= next_forget_) {
    next_forget_ = now_ + kForgetPeriod;
    table_->ForgetDead(now_ - options_.dead_lifetime);
  }
  absl::erase_if(relays_, [this](const auto& entry) {
    return now_ - entry.second.made > kRelayLifetime;
  });
  if (!view_->view().neighbours.empty()) {
    const size_t chosen = random_.Below(view_->view().neighbours.size());
    Send(view_->view().neighbours[chosen],
         MemberDigest{.hash = table_->Digest().hash});
  }
}

void Membership::JoinNextSeed() {
  const bool is_alone = view_->view().routers.size() <= 1;
  if (!is_alone || seeds_.empty() || now_ < next_join_) {
    return;
  }
  next_join_ = now_ + random_.Jitter(kJoinPeriod, kPeriodSpread);
  const std::string& seed = seeds_[next_seed_ % seeds_.size()];
  ++next_seed_;
  if (seed != options_.address) {
    hooks_.send(PeerAddress{RouterId(), seed}, MemberJoin{Own()});
  }
}

void Membership::Reconnect() {
  if (now_ < next_reconnect_) {
    return;
  }
  next_reconnect_ =
      now_ + random_.Jitter(options_.reconnect_period, kPeriodSpread);
  const LostPeers lost = FindLostPeers(*table_, seeds_, vm_list_);
  // In turn, so that a seed waits for one call only, however many are dead.
  is_seed_next_ = !is_seed_next_;
  const bool is_seed =
      lost.dead.empty() || (is_seed_next_ && !lost.seeds.empty());
  const std::vector<PeerAddress>& peers = is_seed ? lost.seeds : lost.dead;
  if (peers.empty()) {
    return;
  }
  const PeerAddress& peer = peers[random_.Below(peers.size())];
  // The peer may have been restarted or may never have met this router. The
  // record gives it the address that its answers go to.
  hooks_.send(peer, MemberNews{.records = {Own()}});
  hooks_.send(peer, Probe{random_.Next64(), OwnStamp()});
  hooks_.send(peer, MemberDigest{.hash = table_->Digest().hash});
}

void Membership::RefreshView() {
  if (view_->Refresh(*table_, now_)) {
    prober_->SetTargets(view_->targets(), now_);
    hooks_.view_changed(view_->view());
  }
}

void Membership::SkipPause() {
  const Duration gap = now_ - last_tick_;
  last_tick_ = now_;
  if (gap <= kPauseLimit) {
    return;
  }
  table_->Shift(gap);
  prober_->Restart(now_);
  relays_.clear();
}

void Membership::Send(const RouterId& to, const MemberMessage& message) {
  const Member* member = table_->Find(to);
  hooks_.send({to, member == nullptr ? "" : member->record.address}, message);
}

void Membership::SendToNeighbours(const MemberMessage& message) {
  for (const RouterId& neighbour : view_->view().neighbours) {
    Send(neighbour, message);
  }
}

std::vector<RouterId> Membership::PickHelpers(const RouterId& target) {
  std::vector<RouterId> helpers;
  for (const RouterId& neighbour : view_->view().neighbours) {
    const Member* member = table_->Find(neighbour);
    if (neighbour != target && member != nullptr &&
        member->record.state < RouterState::kSuspect) {
      helpers.push_back(neighbour);
    }
  }
  for (size_t i = 0; i < helpers.size() && i < kHelpers; ++i) {
    std::swap(helpers[i], helpers[i + random_.Below(helpers.size() - i)]);
  }
  helpers.resize(std::min(helpers.size(), kHelpers));
  return helpers;
}

void Membership::Log(EventId id, const RouterId& router) {
  hooks_.event({id, {{"router", router.value()}}});
}

}  // namespace papaya
