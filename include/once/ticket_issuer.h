#ifndef INCLUDE_ONCE_TICKET_ISSUER_H_
#define INCLUDE_ONCE_TICKET_ISSUER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/once/once_decision.h"
#include "include/once/once_table.h"
#include "include/once/own_incarnations.h"
#include "include/once/ticket.h"

namespace papaya {

// Issues tickets and decides on requests that carry one. A ticket is decided
// from the memory of the incarnation that issued it, so that neither a write
// nor the Object API is needed. A ticket whose outcome was told is closed:
// another attempt gets the same outcome again.
class TicketIssuer {
 public:
  struct Options {
    RouterId router;
    Incarnation incarnation;
    // How long a ticket may be used.
    Duration lifetime = std::chrono::seconds(60);
    // How long after that its outcome is remembered.
    Duration outcome_retention = std::chrono::seconds(120);
    // Tickets that are issued and not yet forgotten, used or not.
    size_t max_tickets = 100000;
    size_t max_answer_bytes = size_t{16} << 20;
  };

  // True if that incarnation of a router is believed to be alive.
  using AliveHook = std::function<bool(const RouterId&, Incarnation)>;

  TicketIssuer(Options options, AliveHook is_alive);

  // `count` new tickets, or as many as there is room for, down to none. Every
  // ticket that is out has its place in the memory.
  std::vector<Ticket> Issue(int count, TimePoint now);

  // Decides on an attempt with `ticket`. After kProceed, End must follow.
  OnceDecision Decide(const Ticket& ticket, TimePoint now);

  // Notes how the request of `ticket`, issued here, ended.
  void End(const Ticket& ticket, Outcome outcome, StoredAnswer answer);

  // This process goes on under a later incarnation. Tickets that it issued
  // before are still decided here; other routers take their issuer for gone.
  void SetIncarnation(Incarnation incarnation, TimePoint now) {
    own_incarnations_.Change(incarnation, now);
  }

  // Drops what need not be remembered any more.
  void OnTick(TimePoint now);

  // When the last ticket issued so far can no longer be used. A router that
  // drains stays until then, so that other routers can still ask it.
  TimePoint last_expiry() const { return last_expiry_; }

  // Tickets that are issued and not yet forgotten.
  size_t outstanding_tickets() const { return outstanding_tickets_; }

 private:
  struct Batch {
    TimePoint keep_until;
    size_t count = 0;
  };

  OnceDecision DecideOwnTicket(const Ticket& ticket, TimePoint now);

  Options options_;
  OwnIncarnations own_incarnations_;
  AliveHook is_alive_;
  uint64_t next_serial_ = 1;
  TimePoint last_expiry_;
  std::deque<Batch> batches_;
  size_t outstanding_tickets_ = 0;
  OnceTable table_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_TICKET_ISSUER_H_
