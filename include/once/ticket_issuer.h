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

// Issues tickets and decides on requests that carry one. The process that
// issued a ticket decides from its own memory, so neither a write nor the
// Object API is needed. Once an outcome has been reported for a ticket, the
// ticket is closed: later attempts get the same outcome.
//
// Not thread-safe: all calls run on one thread, the control thread.
class TicketIssuer {
 public:
  struct Options {
    RouterId router;
    Incarnation incarnation;
    // Time after issue during which a ticket may be used.
    Duration lifetime = std::chrono::seconds(60);
    // Time after a ticket's expiry for which its outcome is kept.
    Duration outcome_retention = std::chrono::seconds(120);
    // Limit on outstanding tickets, used or not.
    size_t max_tickets = 100000;
    size_t max_answer_bytes = size_t{16} << 20;
  };

  // Returns true if the router is believed to be alive under that incarnation.
  using AliveHook = std::function<bool(const RouterId&, Incarnation)>;

  TicketIssuer(Options options, AliveHook is_alive);

  // Returns `count` new tickets, or as many as the limit on outstanding tickets
  // allows, possibly none. The outcome table is as large as that limit.
  std::vector<Ticket> Issue(int count, TimePoint now);

  // Decides on an attempt with `ticket`. After kProceed, the caller must call
  // End.
  OnceDecision Decide(const Ticket& ticket, TimePoint now);

  // Records the outcome of the request of `ticket`, which was issued and
  // decided here.
  void End(const Ticket& ticket, Outcome outcome, StoredAnswer answer);

  // Switches this process to a later incarnation. Tickets issued under earlier
  // ones are still decided here, but other routers treat their issuer as dead.
  void SetIncarnation(Incarnation incarnation, TimePoint now) {
    own_incarnations_.Change(incarnation, now);
  }

  // Drops outcomes, incarnations and tickets whose retention has ended.
  void OnTick(TimePoint now);

  // Expiry of the last ticket issued so far. A draining router stays up until
  // then, so that other routers can still forward requests with its tickets.
  TimePoint last_expiry() const { return last_expiry_; }

  // Number of issued tickets whose outcome retention has not ended.
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
