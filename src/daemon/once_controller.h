#ifndef SRC_DAEMON_ONCE_CONTROLLER_H_
#define SRC_DAEMON_ONCE_CONTROLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/once/claim_coordinator.h"
#include "include/once/claim_sweeper.h"
#include "include/once/ticket_codec.h"
#include "include/once/ticket_issuer.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"

namespace papaya {

class ObjectStore;

// The properties by which OnceController decides whether an at-most-once
// request may run.
struct OnceRequest {
  RequestId id;
  AccountId account;
  // At least one of `ticket` and `key` is set; the ticket takes precedence.
  std::string ticket;
  IdempotencyKey key;
  // Only with a key: the caller states that this is its first attempt.
  bool is_first = false;
  TimePoint deadline;
};

// Decides for requests of non-idempotent routes, by ticket or idempotency key,
// whether they may run, so that each runs at most once in the fleet. Runs on
// the control thread.
class OnceController {
 public:
  struct Hooks {
    std::function<void(const RouterId&, const ClaimQuery&)> send_query;
    std::function<void(const RouterId&, const ClaimReply&)> send_reply;
    std::function<bool(const RouterId&, Incarnation)> is_alive;
    // True if this router sweeps expired claims from the Object API.
    std::function<bool()> is_sweeper;
    EventHook event;
  };

  // Called exactly once, possibly before Decide returns.
  using DecisionHook = std::function<void(const OnceDecision&)>;

  // `store` must outlive the controller.
  OnceController(const RouterSettings& settings,
                 Incarnation incarnation,
                 ObjectStore* store,
                 Hooks hooks,
                 uint64_t seed);

  // Issues up to `count` tickets for `account`; fewer, possibly none, if the
  // ticket limit is reached.
  std::vector<std::string> IssueTickets(const AccountId& account,
                                        int count,
                                        TimePoint now);

  // Decides whether `request` may run. Fails with kInvalidArgument, without
  // calling `decided`, if its ticket was not issued for the account. After the
  // decision kProceed the caller must call End.
  absl::Status Decide(const OnceRequest& request,
                      TimePoint now,
                      DecisionHook decided);

  // Records the outcome and the response of a request that was allowed to
  // proceed.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  void OnQuery(const ClaimQuery& query);
  void OnReply(const ClaimReply& reply, TimePoint now);

  // Called when this router moves to a later incarnation.
  void SetIncarnation(Incarnation incarnation, TimePoint now);

  // Must be called about every 20 ms.
  void OnTick(TimePoint now);

  // Time at which the last ticket issued so far expires.
  TimePoint last_ticket_expiry() const { return ticket_issuer_.last_expiry(); }

  static constexpr int kMaxTicketsPerCall = 64;
  static constexpr Duration kTicketLifetime = std::chrono::seconds(30);

 private:
  void OnClaimDecided(RequestId id, const OnceDecision& decision);
  void LogIfUnknown(RequestId id, const OnceDecision& decision);

  const RouterSettings settings_;
  const Hooks hooks_;
  TicketCodec codec_;
  TicketIssuer ticket_issuer_;
  ClaimCoordinator claims_;
  ClaimSweeper sweeper_;
  absl::flat_hash_map<RequestId, DecisionHook> pending_;
  // Tickets of the requests that were allowed to proceed and have not ended.
  absl::flat_hash_map<RequestId, Ticket> tickets_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ONCE_CONTROLLER_H_
