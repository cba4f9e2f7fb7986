#include "include/once/ticket_issuer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

std::string TableKey(const Ticket& ticket) {
  return absl::StrCat(ticket.serial);
}

}  // namespace

TicketIssuer::TicketIssuer(Options options, AliveHook is_alive)
    : options_(std::move(options)),
      own_incarnations_(options_.incarnation,
                        options_.lifetime + options_.outcome_retention),
      is_alive_(std::move(is_alive)),
      table_(options_.max_tickets, options_.max_answer_bytes) {}

std::vector<Ticket> TicketIssuer::Issue(int count, TimePoint now) {
  const size_t available = options_.max_tickets - outstanding_tickets_;
  const size_t granted = std::min(static_cast<size_t>(count), available);
  std::vector<Ticket> tickets;
  if (granted == 0) {
    return tickets;
  }
  last_expiry_ = now + options_.lifetime;
  batches_.push_back({.keep_until = last_expiry_ + options_.outcome_retention,
                      .count = granted});
  outstanding_tickets_ += granted;
  tickets.reserve(granted);
  for (size_t i = 0; i < granted; ++i) {
    tickets.push_back({.issuer = options_.router,
                       .incarnation = own_incarnations_.current(),
                       .serial = next_serial_++,
                       .expires = last_expiry_});
  }
  return tickets;
}

void TicketIssuer::OnTick(TimePoint now) {
  table_.Prune(now);
  own_incarnations_.Prune(now);
  while (!batches_.empty() && batches_.front().keep_until <= now) {
    outstanding_tickets_ -= batches_.front().count;
    batches_.pop_front();
  }
}

OnceDecision TicketIssuer::Decide(const Ticket& ticket, TimePoint now) {
  if (ticket.issuer == options_.router &&
      own_incarnations_.Contains(ticket.incarnation)) {
    return DecideOwnTicket(ticket, now);
  }
  if (ticket.issuer == options_.router ||
      !is_alive_(ticket.issuer, ticket.incarnation)) {
    return MakeRespondDecision(Outcome::kUnknown, OnceReason::kIssuerDead);
  }
  return {.action = OnceAction::kForward,
          .router = ticket.issuer,
          .incarnation = ticket.incarnation};
}

OnceDecision TicketIssuer::DecideOwnTicket(const Ticket& ticket,
                                           TimePoint now) {
  const std::string key = TableKey(ticket);
  const OnceTable::Entry* entry = table_.Find(key);
  if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
    return MakeRespondDecision(Outcome::kUnknown, OnceReason::kInProgress);
  }
  if (entry != nullptr) {
    OnceDecision decision =
        MakeRespondDecision(entry->outcome, OnceReason::kRepeated);
    decision.answer = entry->answer;
    return decision;
  }
  if (now >= ticket.expires + options_.outcome_retention) {
    return MakeRespondDecision(Outcome::kUnknown, OnceReason::kForgotten);
  }
  // A used ticket would still be in the table, so this one was never used, and
  // it cannot be used later because it stays expired. `not-run` is therefore
  // final.
  if (now >= ticket.expires) {
    return MakeRespondDecision(Outcome::kNotRun, OnceReason::kExpired);
  }
  // Issue limits outstanding tickets to the size of the table, but a running
  // request may hold its entry past the retention.
  if (!table_.Begin(key, ticket.expires + options_.outcome_retention)) {
    return MakeRespondDecision(Outcome::kUnknown, OnceReason::kTableFull);
  }
  return {.action = OnceAction::kProceed};
}

void TicketIssuer::End(const Ticket& ticket,
                       Outcome outcome,
                       StoredAnswer answer) {
  table_.End(TableKey(ticket), outcome, std::move(answer));
}

}  // namespace papaya
