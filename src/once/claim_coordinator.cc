#include "include/once/claim_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/once/claim_record.h"

namespace papaya {

namespace {

// Relative jitter of a backoff.
constexpr double kBackoffJitter = 0.5;
// Delay before retrying the removal of a claim whose request still runs.
constexpr Duration kRemovalRetryInterval = std::chrono::minutes(1);
// Time for which the table keeps an entry after the stored claim was removed.
constexpr Duration kTableRetentionMargin = std::chrono::minutes(10);

}  // namespace

ClaimCoordinator::ClaimCoordinator(Options options,
                                   Hooks hooks,
                                   ObjectStore* store,
                                   Random random)
    : options_(std::move(options)),
      own_incarnations_(options_.incarnation,
                        options_.retention + kTableRetentionMargin),
      hooks_(std::move(hooks)),
      store_(store),
      random_(random),
      table_(options_.max_claims, options_.max_answer_bytes) {}

void ClaimCoordinator::Start(const ClaimAttempt& attempt, TimePoint now) {
  const OnceTable::Entry* entry = table_.Find(attempt.claim);
  if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
    hooks_.on_decision(
        attempt.id,
        MakeRespondDecision(Outcome::kUnknown, OnceReason::kInProgress));
    return;
  }
  if (entry != nullptr && entry->state == OnceTable::State::kEnded) {
    OnceDecision decision =
        MakeRespondDecision(entry->outcome, OnceReason::kRepeated);
    decision.answer = entry->answer;
    hooks_.on_decision(attempt.id, decision);
    return;
  }
  if (!ReserveEntry(attempt.claim, now)) {
    const Outcome outcome =
        attempt.is_first ? Outcome::kNotRun : Outcome::kUnknown;
    hooks_.on_decision(attempt.id,
                       MakeRespondDecision(outcome, OnceReason::kTableFull));
    return;
  }
  PendingAttempt& pending = pending_[attempt.id];
  pending.attempt = attempt;
  pending.backoff = options_.min_backoff;
  pending_by_claim_[attempt.claim] = attempt.id;
  WriteClaim(pending);
}

void ClaimCoordinator::End(RequestId id, Outcome outcome, StoredAnswer answer) {
  const auto found = running_.find(id);
  assert(found != running_.end());
  const std::string claim = std::move(found->second);
  running_.erase(found);
  table_.End(claim, outcome, std::move(answer));
  if (outcome == Outcome::kNotRun) {
    MarkNotRun(claim);
  }
}

ClaimReply ClaimCoordinator::OnQuery(const ClaimQuery& query) {
  ClaimReply reply{.claim = query.claim};
  const OnceTable::Entry* entry = table_.Find(query.claim);
  if (!own_incarnations_.Contains(query.claimer) || entry == nullptr) {
    return reply;
  }
  if (entry->state == OnceTable::State::kRunning) {
    reply.state = ClaimState::kRunning;
    return reply;
  }
  if (entry->state == OnceTable::State::kAbandoned) {
    // The abandoned attempt was never dispatched, and closing the key here
    // prevents any later one. `not-run` is therefore final.
    table_.End(query.claim, Outcome::kNotRun, {});
    MarkNotRun(query.claim);
    entry = table_.Find(query.claim);
  }
  reply.state = ClaimState::kEnded;
  reply.outcome = entry->outcome;
  reply.answer = entry->answer;
  return reply;
}

void ClaimCoordinator::OnReply(const ClaimReply& reply, TimePoint) {
  const auto found = pending_by_claim_.find(reply.claim);
  PendingAttempt* pending =
      found == pending_by_claim_.end() ? nullptr : FindPending(found->second);
  if (pending == nullptr || pending->step != Step::kQuerying) {
    return;
  }
  switch (reply.state) {
    case ClaimState::kRunning:
      FailAttempt(*pending, OnceReason::kInProgress);
      return;
    case ClaimState::kForgotten:
      FailAttempt(*pending, OnceReason::kForgotten);
      return;
    case ClaimState::kEnded:
      CloseKey(*pending, reply.outcome, OnceReason::kRepeated, reply.answer);
      return;
  }
}

void ClaimCoordinator::OnTick(TimePoint now) {
  std::vector<RequestId> due;
  for (const auto& [id, pending] : pending_) {
    const bool has_step_deadline =
        pending.step == Step::kBackoff || pending.step == Step::kQuerying;
    const bool step_timed_out =
        has_step_deadline && now >= pending.step_deadline;
    if (step_timed_out || now >= pending.attempt.deadline) {
      due.push_back(id);
    }
  }
  for (RequestId id : due) {
    PendingAttempt* pending = FindPending(id);
    // A hook called for another attempt may have ended this one.
    if (pending == nullptr) {
      continue;
    }
    if (now >= pending->attempt.deadline) {
      FailAttempt(*pending, OnceReason::kStoreUnavailable);
      continue;
    }
    OnStepTimeout(*pending);
  }
  RemoveExpiredClaims(now);
  table_.Prune(now);
  own_incarnations_.Prune(now);
}

std::string ClaimCoordinator::StoreKey(const std::string& claim) const {
  return absl::StrCat(options_.key_prefix, "claims/", claim);
}

bool ClaimCoordinator::ReserveEntry(const std::string& claim, TimePoint now) {
  const TimePoint removal_due = now + options_.retention;
  if (!table_.Begin(claim, removal_due + kTableRetentionMargin)) {
    return false;
  }
  // The write of an abandoned attempt may still take effect. Reusing its
  // operation id makes such a claim recognizable as this process's own.
  if (own_claims_.contains(claim)) {
    return true;
  }
  const std::string operation =
      absl::StrCat(options_.router.value(), "/",
                   own_incarnations_.current().value(), "/", next_operation_++);
  own_claims_[claim] = {.operation = OperationId(operation)};
  removals_.push_back({.due = removal_due, .claim = claim});
  return true;
}

void ClaimCoordinator::WriteClaim(PendingAttempt& pending) {
  pending.step = Step::kClaiming;
  const std::string claim = pending.attempt.claim;
  const ClaimRecord record{.router = options_.router,
                           .incarnation = own_incarnations_.current(),
                           .claimed_at = hooks_.wall_now()};
  const ConditionalWrite write{.key = StoreKey(claim),
                               .expected = ObjectVersion(0),
                               .operation = own_claims_[claim].operation,
                               .value = EncodeClaimRecord(record)};
  store_->Put(write, IfAlive<absl::StatusOr<ObjectVersion>>(
                         [this, id = pending.attempt.id,
                          claim](const absl::StatusOr<ObjectVersion>& result) {
                           OnClaimed(id, claim, result);
                         }));
}

void ClaimCoordinator::ReadBack(PendingAttempt& pending) {
  pending.step = Step::kReadingBack;
  store_->Get(StoreKey(pending.attempt.claim),
              IfAlive<absl::StatusOr<StoredObject>>(
                  [this, id = pending.attempt.id](
                      const absl::StatusOr<StoredObject>& result) {
                    OnReadBack(id, result);
                  }));
}

void ClaimCoordinator::OnClaimed(RequestId id,
                                 const std::string& claim,
                                 const absl::StatusOr<ObjectVersion>& result) {
  const auto own = own_claims_.find(claim);
  if (result.ok() && own != own_claims_.end()) {
    own->second.version = *result;
  }
  PendingAttempt* pending = FindPending(id);
  if (pending == nullptr || pending->step != Step::kClaiming) {
    return;
  }
  if (result.ok()) {
    Proceed(*pending);
    return;
  }
  if (result.status().code() == absl::StatusCode::kAborted) {
    ReadBack(*pending);
    return;
  }
  const bool is_ambiguous = MayHaveTakenEffect(result.status());
  BackOff(*pending, is_ambiguous ? Step::kReadingBack : Step::kClaiming);
}

void ClaimCoordinator::OnReadBack(RequestId id,
                                  const absl::StatusOr<StoredObject>& result) {
  PendingAttempt* pending = FindPending(id);
  if (pending == nullptr || pending->step != Step::kReadingBack) {
    return;
  }
  if (result.status().code() == absl::StatusCode::kNotFound) {
    // The lost write may still take effect. Repeating it with the same
    // operation id is harmless.
    WriteClaim(*pending);
    return;
  }
  if (!result.ok()) {
    BackOff(*pending, Step::kReadingBack);
    return;
  }
  OwnClaim& own = own_claims_[pending->attempt.claim];
  if (result->operation != own.operation) {
    OnForeignClaim(*pending, *result);
    return;
  }
  own.version = result->version;
  Proceed(*pending);
}

void ClaimCoordinator::OnForeignClaim(PendingAttempt& pending,
                                      const StoredObject& object) {
  pending.is_foreign = true;
  const absl::StatusOr<ClaimRecord> record = DecodeClaimRecord(object.value);
  if (!record.ok()) {
    FailAttempt(pending, OnceReason::kForgotten);
    return;
  }
  if (record->is_not_run) {
    CloseKey(pending, Outcome::kNotRun, OnceReason::kRepeated, {});
    return;
  }
  if (record->router == options_.router) {
    // The claim was made by an earlier incarnation, or by this process before
    // its table dropped the entry. Either way no outcome is recorded.
    FailAttempt(pending, OnceReason::kForgotten);
    return;
  }
  if (!hooks_.is_alive(record->router, record->incarnation)) {
    FailAttempt(pending, OnceReason::kClaimerDead);
    return;
  }
  pending.step = Step::kQuerying;
  pending.step_deadline = hooks_.now() + options_.query_timeout;
  hooks_.send_query(record->router, {.from = options_.router,
                                     .claimer = record->incarnation,
                                     .claim = pending.attempt.claim});
}

void ClaimCoordinator::BackOff(PendingAttempt& pending, Step next_step) {
  pending.step = Step::kBackoff;
  pending.next_step = next_step;
  pending.step_deadline =
      hooks_.now() + random_.Jitter(pending.backoff, kBackoffJitter);
  pending.backoff = std::min(pending.backoff * 2, options_.max_backoff);
}

void ClaimCoordinator::OnStepTimeout(PendingAttempt& pending) {
  if (pending.step == Step::kQuerying) {
    FailAttempt(pending, OnceReason::kClaimerUnreachable);
    return;
  }
  if (pending.next_step == Step::kReadingBack) {
    ReadBack(pending);
    return;
  }
  WriteClaim(pending);
}

void ClaimCoordinator::Proceed(PendingAttempt& pending) {
  if (hooks_.now() >= pending.attempt.deadline) {
    // This process holds the claim and has not dispatched the request, so no
    // router has run it.
    CloseKey(pending, Outcome::kNotRun, OnceReason::kStoreUnavailable, {});
    return;
  }
  running_[pending.attempt.id] = pending.attempt.claim;
  FinishAttempt(pending, {.action = OnceAction::kProceed});
}

void ClaimCoordinator::FailAttempt(PendingAttempt& pending, OnceReason reason) {
  const bool holds_claim =
      own_claims_[pending.attempt.claim].version != ObjectVersion(0);
  if (holds_claim) {
    CloseKey(pending, Outcome::kNotRun, reason, {});
    return;
  }
  // The key stays open: the caller's first-attempt statement covers only this
  // attempt, and a later attempt may already have claimed the key.
  const bool is_not_run = pending.attempt.is_first && !pending.is_foreign;
  table_.Abandon(pending.attempt.claim);
  FinishAttempt(pending,
                MakeRespondDecision(
                    is_not_run ? Outcome::kNotRun : Outcome::kUnknown, reason));
}

void ClaimCoordinator::CloseKey(PendingAttempt& pending,
                                Outcome outcome,
                                OnceReason reason,
                                const StoredAnswer& answer) {
  const std::string claim = pending.attempt.claim;
  table_.End(claim, outcome, answer);
  if (outcome == Outcome::kNotRun && !pending.is_foreign) {
    MarkNotRun(claim);
  }
  OnceDecision decision = MakeRespondDecision(outcome, reason);
  decision.answer = answer;
  FinishAttempt(pending, decision);
}

void ClaimCoordinator::FinishAttempt(PendingAttempt& pending,
                                     const OnceDecision& decision) {
  const RequestId id = pending.attempt.id;
  pending_by_claim_.erase(pending.attempt.claim);
  pending_.erase(id);
  hooks_.on_decision(id, decision);
}

void ClaimCoordinator::MarkNotRun(const std::string& claim) {
  const auto own = own_claims_.find(claim);
  if (own == own_claims_.end() || own->second.version == ObjectVersion(0)) {
    return;
  }
  const ClaimRecord record{.router = options_.router,
                           .incarnation = own_incarnations_.current(),
                           .claimed_at = hooks_.wall_now(),
                           .is_not_run = true};
  const ConditionalWrite write{.key = StoreKey(claim),
                               .expected = own->second.version,
                               .operation = OperationId(absl::StrCat(
                                   own->second.operation.value(), "/not-run")),
                               .value = EncodeClaimRecord(record)};
  store_->Put(write,
              IfAlive<absl::StatusOr<ObjectVersion>>(
                  [this, claim](const absl::StatusOr<ObjectVersion>& result) {
                    const auto found = own_claims_.find(claim);
                    if (result.ok() && found != own_claims_.end()) {
                      found->second.version = *result;
                    }
                  }));
}

void ClaimCoordinator::RemoveExpiredClaims(TimePoint now) {
  for (size_t remaining = removals_.size(); remaining > 0; --remaining) {
    if (removals_.front().due > now) {
      return;
    }
    Removal removal = std::move(removals_.front());
    removals_.pop_front();
    const OnceTable::Entry* entry = table_.Find(removal.claim);
    if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
      removal.due = now + kRemovalRetryInterval;
      removals_.push_back(std::move(removal));
      continue;
    }
    const OwnClaim own = own_claims_[removal.claim];
    own_claims_.erase(removal.claim);
    if (own.version == ObjectVersion(0)) {
      continue;
    }
    const ConditionalWrite write{.key = StoreKey(removal.claim),
                                 .expected = own.version,
                                 .operation = OperationId(absl::StrCat(
                                     own.operation.value(), "/remove"))};
    store_->Put(write, [](const absl::StatusOr<ObjectVersion>&) {});
  }
}

ClaimCoordinator::PendingAttempt* ClaimCoordinator::FindPending(RequestId id) {
  const auto found = pending_.find(id);
  return found == pending_.end() ? nullptr : &found->second;
}

template <typename Result, typename Callback>
std::function<void(Result)> ClaimCoordinator::IfAlive(Callback callback) {
  return [alive = std::weak_ptr<bool>(alive_),
          callback = std::move(callback)](Result result) {
    if (!alive.expired()) {
      callback(result);
    }
  };
}

}  // namespace papaya
