#include "include/once/claim_keeper.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/once/claim_record.h"

namespace papaya {

namespace {

constexpr double kBackoffSpread = 0.5;
// A removal that failed is tried again after this time.
constexpr Duration kRemovalRetry = std::chrono::minutes(1);
// The table outlives the claims in the store by this time.
constexpr Duration kTableMargin = std::chrono::minutes(10);

}  // namespace

ClaimKeeper::ClaimKeeper(Options options,
                         Hooks hooks,
                         ObjectStore* store,
                         Random random)
    : options_(std::move(options)),
      own_(options_.incarnation, options_.retention + kTableMargin),
      hooks_(std::move(hooks)),
      store_(store),
      random_(random),
      table_(options_.max_claims, options_.max_answer_bytes) {}

void ClaimKeeper::Start(const ClaimAttempt& attempt, TimePoint now) {
  const OnceTable::Entry* entry = table_.Find(attempt.claim);
  if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
    hooks_.decide(attempt.id,
                  MakeOnceAnswer(Outcome::kUnknown, OnceReason::kInProgress));
    return;
  }
  if (entry != nullptr && entry->state == OnceTable::State::kEnded) {
    OnceVerdict verdict = MakeOnceAnswer(entry->outcome, OnceReason::kRepeated);
    verdict.answer = entry->answer;
    hooks_.decide(attempt.id, verdict);
    return;
  }
  if (!Remember(attempt.claim, now)) {
    const Outcome outcome =
        attempt.is_first ? Outcome::kNotRun : Outcome::kUnknown;
    hooks_.decide(attempt.id, MakeOnceAnswer(outcome, OnceReason::kTableFull));
    return;
  }
  Waiting& waiting = waiting_[attempt.id];
  waiting.attempt = attempt;
  waiting.backoff = options_.min_backoff;
  waiting_by_claim_[attempt.claim] = attempt.id;
  Claim(waiting);
}

void ClaimKeeper::End(RequestId id, Outcome outcome, StoredAnswer answer) {
  const auto found = running_.find(id);
  assert(found != running_.end());
  const std::string claim = std::move(found->second);
  running_.erase(found);
  table_.End(claim, outcome, std::move(answer));
  if (outcome == Outcome::kNotRun) {
    MarkNotRun(claim);
  }
}

ClaimReply ClaimKeeper::OnQuery(const ClaimQuery& query) {
  ClaimReply reply{.claim = query.claim};
  const OnceTable::Entry* entry = table_.Find(query.claim);
  if (!own_.Contains(query.claimer) || entry == nullptr) {
    return reply;
  }
  if (entry->state == OnceTable::State::kRunning) {
    reply.state = ClaimState::kRunning;
    return reply;
  }
  if (entry->state == OnceTable::State::kAbandoned) {
    // Nothing of it was handed over; from here on nothing will be.
    table_.End(query.claim, Outcome::kNotRun, {});
    MarkNotRun(query.claim);
    entry = table_.Find(query.claim);
  }
  reply.state = ClaimState::kEnded;
  reply.outcome = entry->outcome;
  reply.answer = entry->answer;
  return reply;
}

void ClaimKeeper::OnReply(const ClaimReply& reply, TimePoint) {
  const auto found = waiting_by_claim_.find(reply.claim);
  Waiting* waiting =
      found == waiting_by_claim_.end() ? nullptr : FindWaiting(found->second);
  if (waiting == nullptr || waiting->step != Step::kQuerying) {
    return;
  }
  switch (reply.state) {
    case ClaimState::kRunning:
      GiveUp(*waiting, OnceReason::kInProgress);
      return;
    case ClaimState::kForgotten:
      GiveUp(*waiting, OnceReason::kForgotten);
      return;
    case ClaimState::kEnded:
      Close(*waiting, reply.outcome, OnceReason::kRepeated, reply.answer);
      return;
  }
}

void ClaimKeeper::OnTick(TimePoint now) {
  std::vector<RequestId> due;
  for (const auto& [id, waiting] : waiting_) {
    const bool has_step_end =
        waiting.step == Step::kBackoff || waiting.step == Step::kQuerying;
    const bool step_ended = has_step_end && now >= waiting.step_ends;
    if (step_ended || now >= waiting.attempt.deadline) {
      due.push_back(id);
    }
  }
  for (RequestId id : due) {
    Waiting* waiting = FindWaiting(id);
    // A hook may have ended it meanwhile.
    if (waiting == nullptr) {
      continue;
    }
    if (now >= waiting->attempt.deadline) {
      GiveUp(*waiting, OnceReason::kStoreUnavailable);
      continue;
    }
    OnStepEnd(*waiting);
  }
  RemoveOldClaims(now);
  table_.Prune(now);
  own_.Prune(now);
}

std::string ClaimKeeper::StoreKey(const std::string& claim) const {
  return absl::StrCat(options_.key_prefix, "claims/", claim);
}

bool ClaimKeeper::Remember(const std::string& claim, TimePoint now) {
  const TimePoint removal_due = now + options_.retention;
  if (!table_.Begin(claim, removal_due + kTableMargin)) {
    return false;
  }
  // An abandoned attempt's write may still show up; its claim is ours to use.
  if (own_claims_.contains(claim)) {
    return true;
  }
  const std::string operation =
      absl::StrCat(options_.router.value(), "/", own_.current().value(), "/",
                   next_operation_++);
  own_claims_[claim] = {.operation = OperationId(operation)};
  removals_.push_back({.due = removal_due, .claim = claim});
  return true;
}

void ClaimKeeper::Claim(Waiting& waiting) {
  waiting.step = Step::kClaiming;
  const std::string claim = waiting.attempt.claim;
  const ClaimRecord record{.router = options_.router,
                           .incarnation = own_.current(),
                           .claimed_at = hooks_.wall_now()};
  const ConditionalWrite write{.key = StoreKey(claim),
                               .expected = ObjectVersion(0),
                               .operation = own_claims_[claim].operation,
                               .value = EncodeClaimRecord(record)};
  store_->Put(write, IfAlive<absl::StatusOr<ObjectVersion>>(
                         [this, id = waiting.attempt.id,
                          claim](const absl::StatusOr<ObjectVersion>& result) {
                           OnClaimed(id, claim, result);
                         }));
}

void ClaimKeeper::ReadBack(Waiting& waiting) {
  waiting.step = Step::kReadingBack;
  store_->Get(StoreKey(waiting.attempt.claim),
              IfAlive<absl::StatusOr<StoredObject>>(
                  [this, id = waiting.attempt.id](
                      const absl::StatusOr<StoredObject>& result) {
                    OnReadBack(id, result);
                  }));
}

void ClaimKeeper::OnClaimed(RequestId id,
                            const std::string& claim,
                            const absl::StatusOr<ObjectVersion>& result) {
  const auto own = own_claims_.find(claim);
  if (result.ok() && own != own_claims_.end()) {
    own->second.version = *result;
  }
  Waiting* waiting = FindWaiting(id);
  if (waiting == nullptr || waiting->step != Step::kClaiming) {
    return;
  }
  if (result.ok()) {
    Proceed(*waiting);
    return;
  }
  if (result.status().code() == absl::StatusCode::kAborted) {
    ReadBack(*waiting);
    return;
  }
  const bool is_doubtful = MayHaveTakenEffect(result.status());
  BackOff(*waiting, is_doubtful ? Step::kReadingBack : Step::kClaiming);
}

void ClaimKeeper::OnReadBack(RequestId id,
                             const absl::StatusOr<StoredObject>& result) {
  Waiting* waiting = FindWaiting(id);
  if (waiting == nullptr || waiting->step != Step::kReadingBack) {
    return;
  }
  if (result.status().code() == absl::StatusCode::kNotFound) {
    // The lost write may land yet; the same write again does no harm.
    Claim(*waiting);
    return;
  }
  if (!result.ok()) {
    BackOff(*waiting, Step::kReadingBack);
    return;
  }
  OwnClaim& own = own_claims_[waiting->attempt.claim];
  if (result->operation != own.operation) {
    OnForeignClaim(*waiting, *result);
    return;
  }
  own.version = result->version;
  Proceed(*waiting);
}

void ClaimKeeper::OnForeignClaim(Waiting& waiting, const StoredObject& object) {
  waiting.is_foreign = true;
  const absl::StatusOr<ClaimRecord> record = DecodeClaimRecord(object.value);
  if (!record.ok()) {
    GiveUp(waiting, OnceReason::kForgotten);
    return;
  }
  if (record->is_not_run) {
    Close(waiting, Outcome::kNotRun, OnceReason::kRepeated, {});
    return;
  }
  if (record->router == options_.router) {
    // An earlier incarnation's, or one of ours that the table has dropped.
    GiveUp(waiting, OnceReason::kForgotten);
    return;
  }
  if (!hooks_.is_alive(record->router, record->incarnation)) {
    GiveUp(waiting, OnceReason::kClaimerGone);
    return;
  }
  waiting.step = Step::kQuerying;
  waiting.step_ends = hooks_.now() + options_.query_timeout;
  hooks_.send_query(record->router, {.from = options_.router,
                                     .claimer = record->incarnation,
                                     .claim = waiting.attempt.claim});
}

void ClaimKeeper::BackOff(Waiting& waiting, Step next_step) {
  waiting.step = Step::kBackoff;
  waiting.next_step = next_step;
  waiting.step_ends =
      hooks_.now() + random_.Jitter(waiting.backoff, kBackoffSpread);
  waiting.backoff = std::min(waiting.backoff * 2, options_.max_backoff);
}

void ClaimKeeper::OnStepEnd(Waiting& waiting) {
  if (waiting.step == Step::kQuerying) {
    GiveUp(waiting, OnceReason::kClaimerUnreachable);
    return;
  }
  if (waiting.next_step == Step::kReadingBack) {
    ReadBack(waiting);
    return;
  }
  Claim(waiting);
}

void ClaimKeeper::Proceed(Waiting& waiting) {
  if (hooks_.now() >= waiting.attempt.deadline) {
    // The claim is ours and was not used, so nobody has run the request.
    Close(waiting, Outcome::kNotRun, OnceReason::kStoreUnavailable, {});
    return;
  }
  running_[waiting.attempt.id] = waiting.attempt.claim;
  Decide(waiting, {.action = OnceAction::kProceed});
}

void ClaimKeeper::GiveUp(Waiting& waiting, OnceReason reason) {
  const bool holds_claim =
      own_claims_[waiting.attempt.claim].version != ObjectVersion(0);
  if (holds_claim) {
    Close(waiting, Outcome::kNotRun, reason, {});
    return;
  }
  // Not closed: the caller's word covers this attempt alone, and a later one
  // may have overtaken it.
  const bool is_not_run = waiting.attempt.is_first && !waiting.is_foreign;
  table_.Abandon(waiting.attempt.claim);
  Decide(waiting,
         MakeOnceAnswer(is_not_run ? Outcome::kNotRun : Outcome::kUnknown,
                        reason));
}

void ClaimKeeper::Close(Waiting& waiting,
                        Outcome outcome,
                        OnceReason reason,
                        const StoredAnswer& answer) {
  const std::string claim = waiting.attempt.claim;
  table_.End(claim, outcome, answer);
  if (outcome == Outcome::kNotRun && !waiting.is_foreign) {
    MarkNotRun(claim);
  }
  OnceVerdict verdict = MakeOnceAnswer(outcome, reason);
  verdict.answer = answer;
  Decide(waiting, verdict);
}

void ClaimKeeper::Decide(Waiting& waiting, const OnceVerdict& verdict) {
  const RequestId id = waiting.attempt.id;
  waiting_by_claim_.erase(waiting.attempt.claim);
  waiting_.erase(id);
  hooks_.decide(id, verdict);
}

void ClaimKeeper::MarkNotRun(const std::string& claim) {
  const auto own = own_claims_.find(claim);
  if (own == own_claims_.end() || own->second.version == ObjectVersion(0)) {
    return;
  }
  const ClaimRecord record{.router = options_.router,
                           .incarnation = own_.current(),
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

void ClaimKeeper::RemoveOldClaims(TimePoint now) {
  for (size_t left = removals_.size(); left > 0; --left) {
    if (removals_.front().due > now) {
      return;
    }
    Removal removal = std::move(removals_.front());
    removals_.pop_front();
    const OnceTable::Entry* entry = table_.Find(removal.claim);
    if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
      removal.due = now + kRemovalRetry;
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

ClaimKeeper::Waiting* ClaimKeeper::FindWaiting(RequestId id) {
  const auto found = waiting_.find(id);
  return found == waiting_.end() ? nullptr : &found->second;
}

template <typename Result, typename Callback>
std::function<void(Result)> ClaimKeeper::IfAlive(Callback callback) {
  return [alive = std::weak_ptr<bool>(alive_),
          callback = std::move(callback)](Result result) {
    if (!alive.expired()) {
      callback(result);
    }
  };
}

}  // namespace papaya
