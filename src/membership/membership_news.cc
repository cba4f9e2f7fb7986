// The part of Membership that takes in what other routers say, and answers.

#include "include/membership/membership.h"
#include "src/membership/member_sync.h"
#include "src/membership/member_table.h"
#include "src/membership/prober.h"

namespace papaya {

namespace {

constexpr size_t kMaxRelays = 1024;
// A router takes a later incarnation at most this often.
constexpr Duration kIncarnationPeriod = std::chrono::seconds(1);
// It lies up to so many numbers after the one that the fleet knew; incarnations
// count microseconds, so this is a second.
constexpr uint64_t kIncarnationSpread = 1'000'000;

}  // namespace

void Membership::Handle(const RouterId& from, const Probe& probe) {
  Send(from, ProbeAck{probe.sequence, OwnStamp()});
  TakeSelfStamp(from, probe.sender);
}

void Membership::Handle(const RouterId& from, const ProbeAck& ack) {
  prober_->OnAck(ack.sequence);
  const auto relay = relays_.find(ack.sequence);
  if (relay != relays_.end()) {
    Send(relay->second.requester, ProbeAck{relay->second.sequence, ack.target});
    relays_.erase(relay);
  }
  if (ack.target.key == MemberKey(from)) {
    TakeSelfStamp(from, ack.target);
  }
}

void Membership::Handle(const RouterId& from, const ProbeRequest& request) {
  const Member* target = table_->Find(request.target);
  if (target == nullptr || relays_.size() >= kMaxRelays) {
    return;
  }
  const uint64_t sequence = random_.Next64();
  relays_[sequence] = {from, request.sequence, now_};
  Send(request.target, Probe{sequence, OwnStamp()});
}

void Membership::Handle(const RouterId& from, const MemberNews& news) {
  for (const MemberRecord& record : news.records) {
    TakeRecord(from, record);
  }
  TakeStamps(from, news.stamps);
}

void Membership::Handle(const RouterId& from, const MemberJoin& join) {
  if (join.sender.id != from) {
    return;
  }
  TakeRecord(from, join.sender);
  Send(from, MakeJoinAnswer(*table_, from));
}

void Membership::Handle(const RouterId& from, const MemberRequest& request) {
  const MemberNews news = MakeRecords(*table_, request);
  if (!news.records.empty()) {
    Send(from, news);
  }
}

void Membership::Handle(const RouterId& from, const MemberDigest& digest) {
  const MemberDigest& own = table_->Digest();
  if (own.hash == digest.hash) {
    return;
  }
  if (digest.zones.empty()) {
    Send(from, own);
    return;
  }
  Send(from, table_->StampsOf(FindDifferingZones(digest, own)));
}

void Membership::Handle(const RouterId& from, const MemberStamps& message) {
  const MemberNews news = MakeRepairs(*table_, message);
  if (!news.records.empty() || !news.stamps.empty()) {
    Send(from, news);
  }
  TakeStamps(from, message.stamps);
}

void Membership::TakeStamps(const RouterId& from,
                            const std::vector<MemberStamp>& stamps) {
  MemberRequest request;
  MemberNews newer;
  for (const MemberStamp& stamp : stamps) {
    if (stamp.key == MemberKey(options_.self)) {
      AnswerFor(stamp);
      continue;
    }
    const MemberTable::Outcome outcome = table_->Apply(stamp, now_);
    if (outcome == MemberTable::Outcome::kUnknown) {
      request.keys.push_back(stamp.key);
    } else if (outcome == MemberTable::Outcome::kChanged) {
      OnChanged(table_->FindKey(stamp.key)->record, /*is_new=*/false);
    } else if (outcome == MemberTable::Outcome::kOlder &&
               stamp.state >= RouterState::kSuspect) {
      newer.stamps.push_back(StampOf(table_->FindKey(stamp.key)->record));
    }
  }
  if (!request.keys.empty()) {
    Send(from, request);
  }
  if (!newer.stamps.empty()) {
    Send(from, newer);
  }
}

void Membership::TakeRecord(const RouterId& from, const MemberRecord& record) {
  if (record.id == options_.self) {
    AnswerFor(StampOf(record));
    return;
  }
  const MemberTable::Outcome outcome = table_->Apply(record, now_);
  if (outcome == MemberTable::Outcome::kChanged) {
    OnChanged(record, /*is_new=*/true);
  } else if (outcome == MemberTable::Outcome::kOlder && from == record.id) {
    Send(from, MemberNews{.stamps = {StampOf(table_->Find(from)->record)}});
  }
}

void Membership::TakeSelfStamp(const RouterId& from, const MemberStamp& stamp) {
  if (from == options_.self || stamp.key != MemberKey(from)) {
    return;
  }
  const Member* known = table_->Find(from);
  if (known != nullptr && IsNewer(StampOf(known->record), stamp)) {
    Send(from, MemberNews{.stamps = {StampOf(known->record)}});
    return;
  }
  TakeStamps(from, {stamp});
}

void Membership::AnswerFor(const MemberStamp& said) {
  MemberRecord own = Own();
  if (!IsNewer(said, StampOf(own)) || own.state == RouterState::kDead) {
    return;
  }
  if (said.incarnation > own.incarnation) {
    if (now_ < next_incarnation_) {
      return;
    }
    next_incarnation_ = now_ + kIncarnationPeriod;
    // Not simply the next: two processes that hear the same must not meet.
    own.incarnation = Incarnation(said.incarnation.value() + 1 +
                                  random_.Below(kIncarnationSpread));
    own.refutations = 0;
    Log(EventId::kRouterNameClash, options_.self);
    hooks_.incarnation_changed(own.incarnation);
  } else {
    own.refutations = said.refutations + 1;
    Log(EventId::kSuspicionRefuted, options_.self);
  }
  SetOwn(own);
}

}  // namespace papaya
