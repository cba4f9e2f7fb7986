#include "include/once/ticket_desk.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

std::string TableKey(const Ticket& ticket) {
  return absl::StrCat(ticket.serial);
}

}  // namespace

TicketDesk::TicketDesk(Options options, AliveHook is_alive)
    : options_(std::move(options)),
      own_(options_.incarnation, options_.lifetime + options_.memory),
      is_alive_(std::move(is_alive)),
      table_(options_.max_tickets, options_.max_answer_bytes) {}

std::vector<Ticket> TicketDesk::Issue(int count, TimePoint now) {
  const size_t room = options_.max_tickets - tickets_out_;
  const size_t granted = std::min(static_cast<size_t>(count), room);
  std::vector<Ticket> tickets;
  if (granted == 0) {
    return tickets;
  }
  last_expiry_ = now + options_.lifetime;
  batches_.push_back(
      {.forgotten = last_expiry_ + options_.memory, .count = granted});
  tickets_out_ += granted;
  tickets.reserve(granted);
  for (size_t i = 0; i < granted; ++i) {
    tickets.push_back({.issuer = options_.router,
                       .incarnation = own_.current(),
                       .serial = next_serial_++,
                       .expires = last_expiry_});
  }
  return tickets;
}

void TicketDesk::OnTick(TimePoint now) {
  table_.Prune(now);
  own_.Prune(now);
  while (!batches_.empty() && batches_.front().forgotten <= now) {
    tickets_out_ -= batches_.front().count;
    batches_.pop_front();
  }
}

OnceVerdict TicketDesk::Decide(const Ticket& ticket, TimePoint now) {
  if (ticket.issuer == options_.router && own_.Contains(ticket.incarnation)) {
    return DecideOwn(ticket, now);
  }
  if (ticket.issuer == options_.router ||
      !is_alive_(ticket.issuer, ticket.incarnation)) {
    return MakeOnceAnswer(Outcome::kUnknown, OnceReason::kIssuerGone);
  }
  return {.action = OnceAction::kForward,
          .router = ticket.issuer,
          .incarnation = ticket.incarnation};
}

OnceVerdict TicketDesk::DecideOwn(const Ticket& ticket, TimePoint now) {
  const std::string key = TableKey(ticket);
  const OnceTable::Entry* entry = table_.Find(key);
  if (entry != nullptr && entry->state == OnceTable::State::kRunning) {
    return MakeOnceAnswer(Outcome::kUnknown, OnceReason::kInProgress);
  }
  if (entry != nullptr) {
    OnceVerdict verdict = MakeOnceAnswer(entry->outcome, OnceReason::kRepeated);
    verdict.answer = entry->answer;
    return verdict;
  }
  if (now >= ticket.expires + options_.memory) {
    return MakeOnceAnswer(Outcome::kUnknown, OnceReason::kForgotten);
  }
  // Any use would still be in the table, so none has happened. None will: the
  // ticket stays expired.
  if (now >= ticket.expires) {
    return MakeOnceAnswer(Outcome::kNotRun, OnceReason::kExpired);
  }
  // Issue has kept a place for it, but a running request may hold one longer.
  if (!table_.Begin(key, ticket.expires + options_.memory)) {
    return MakeOnceAnswer(Outcome::kUnknown, OnceReason::kTableFull);
  }
  return {.action = OnceAction::kProceed};
}

void TicketDesk::End(const Ticket& ticket,
                     Outcome outcome,
                     StoredAnswer answer) {
  table_.End(TableKey(ticket), outcome, std::move(answer));
}

}  // namespace papaya
