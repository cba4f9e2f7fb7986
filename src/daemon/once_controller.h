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
#include "include/once/claim_keeper.h"
#include "include/once/claim_sweeper.h"
#include "include/once/ticket_codec.h"
#include "include/once/ticket_desk.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"

namespace papaya {

class ObjectStore;

// What a request that must not run twice is decided by.
struct OnceRequest {
  RequestId id;
  AccountId account;
  // One of the two is set.
  std::string ticket;
  IdempotencyKey key;
  // With a key: the caller says that this is its first attempt.
  bool is_first = false;
  TimePoint deadline;
};

// Requests that must not run twice, in this router, on the control thread.
class OnceController {
 public:
  struct Hooks {
    std::function<void(const RouterId&, const ClaimQuery&)> send_query;
    std::function<void(const RouterId&, const ClaimReply&)> send_reply;
    std::function<bool(const RouterId&, Incarnation)> is_alive;
    // True if this router cleans up after others.
    std::function<bool()> is_sweeper;
    EventHook event;
  };

  // Called once, perhaps from inside Decide.
  using DecisionHook = std::function<void(const OnceVerdict&)>;

  // `store` must outlive this.
  OnceController(const RouterSettings& settings,
                 Incarnation incarnation,
                 ObjectStore* store,
                 Hooks hooks,
                 uint64_t seed);

  // Up to `count` tickets for `account`; fewer, down to none, if there is no
  // room.
  std::vector<std::string> IssueTickets(const AccountId& account,
                                        int count,
                                        TimePoint now);

  // Decides on a request. Fails with kInvalidArgument if its ticket is none of
  // the account's. After kProceed, End must follow.
  absl::Status Decide(const OnceRequest& request,
                      TimePoint now,
                      DecisionHook decided);

  // Notes how a request that proceeded ended.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  void OnQuery(const ClaimQuery& query);
  void OnReply(const ClaimReply& reply, TimePoint now);

  // The fleet knows this router under a later incarnation from now on.
  void SetIncarnation(Incarnation incarnation, TimePoint now);

  // Call every 20 ms or so.
  void OnTick(TimePoint now);

  // When the last ticket issued so far can no longer be used.
  TimePoint last_ticket_expiry() const { return ticket_issuer_.last_expiry(); }

  static constexpr int kMaxTicketsPerCall = 64;
  static constexpr Duration kTicketLifetime = std::chrono::seconds(30);

 private:
  void OnClaimDecided(RequestId id, const OnceVerdict& verdict);
  void LogIfUnknown(RequestId id, const OnceVerdict& verdict);

  const RouterSettings settings_;
  const Hooks hooks_;
  TicketCodec codec_;
  TicketDesk ticket_issuer_;
  ClaimKeeper claims_;
  ClaimSweeper sweeper_;
  absl::flat_hash_map<RequestId, DecisionHook> pending_;
  // Tickets of requests that proceeded and have not ended.
  absl::flat_hash_map<RequestId, Ticket> tickets_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ONCE_CONTROLLER_H_
