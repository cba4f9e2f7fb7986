#include "src/daemon/once_controller.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

TicketIssuer::Options MakeTicketOptions(const RouterSettings& settings,
                                        Incarnation incarnation) {
  TicketIssuer::Options options;
  options.router = settings.router;
  options.incarnation = incarnation;
  options.lifetime = OnceController::kTicketLifetime;
  options.max_tickets = static_cast<size_t>(settings.limits.max_tickets);
  return options;
}

ClaimCoordinator::Options MakeClaimOptions(const RouterSettings& settings,
                                           Incarnation incarnation) {
  ClaimCoordinator::Options options;
  options.router = settings.router;
  options.incarnation = incarnation;
  options.key_prefix = absl::StrCat(settings.store_prefix, "/");
  options.max_claims = static_cast<size_t>(settings.limits.max_claims);
  return options;
}

ClaimSweeper::Options MakeSweeperOptions(const RouterSettings& settings) {
  ClaimSweeper::Options options;
  options.key_prefix = absl::StrCat(settings.store_prefix, "/");
  return options;
}

}  // namespace

OnceController::OnceController(const RouterSettings& settings,
                               Incarnation incarnation,
                               ObjectStore* store,
                               Hooks hooks,
                               uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      codec_(settings.fleet_secret),
      ticket_issuer_(MakeTicketOptions(settings, incarnation), hooks_.is_alive),
      claims_(MakeClaimOptions(settings, incarnation),
              {.on_decision =
                   [this](RequestId id, const OnceDecision& decision) {
                     OnClaimDecided(id, decision);
                   },
               .send_query = hooks_.send_query,
               .is_alive = hooks_.is_alive,
               .now = [] { return SteadyNow(); },
               .wall_now = [] { return WallNow(); }},
              store,
              Random(seed)),
      sweeper_(MakeSweeperOptions(settings),
               {.is_sweeper = hooks_.is_sweeper,
                .wall_now = [] { return WallNow(); }},
               store,
               seed) {}

std::vector<std::string> OnceController::IssueTickets(const AccountId& account,
                                                      int count,
                                                      TimePoint now) {
  std::vector<std::string> texts;
  for (const Ticket& ticket : ticket_issuer_.Issue(count, now)) {
    texts.push_back(codec_.Encode(ticket, account));
  }
  return texts;
}

absl::Status OnceController::Decide(const OnceRequest& request,
                                    TimePoint now,
                                    DecisionHook decided) {
  if (request.ticket.empty()) {
    pending_[request.id] = std::move(decided);
    claims_.Start({.id = request.id,
                   .claim = ClaimName(request.account, request.key),
                   .deadline = request.deadline,
                   .is_first = request.is_first},
                  now);
    return absl::OkStatus();
  }
  const absl::StatusOr<Ticket> ticket =
      codec_.Decode(request.ticket, request.account);
  if (!ticket.ok()) {
    return ticket.status();
  }
  const OnceDecision decision = ticket_issuer_.Decide(*ticket, now);
  if (decision.action == OnceAction::kProceed) {
    tickets_[request.id] = *ticket;
  }
  LogIfUnknown(request.id, decision);
  decided(decision);
  return absl::OkStatus();
}

void OnceController::End(RequestId id, Outcome outcome, StoredAnswer answer) {
  const auto ticket = tickets_.find(id);
  if (ticket == tickets_.end()) {
    claims_.End(id, outcome, std::move(answer));
    return;
  }
  ticket_issuer_.End(ticket->second, outcome, std::move(answer));
  tickets_.erase(ticket);
}

void OnceController::OnQuery(const ClaimQuery& query) {
  hooks_.send_reply(query.from, claims_.OnQuery(query));
}

void OnceController::OnReply(const ClaimReply& reply, TimePoint now) {
  claims_.OnReply(reply, now);
}

void OnceController::SetIncarnation(Incarnation incarnation, TimePoint now) {
  ticket_issuer_.SetIncarnation(incarnation, now);
  claims_.SetIncarnation(incarnation, now);
}

void OnceController::OnTick(TimePoint now) {
  ticket_issuer_.OnTick(now);
  claims_.OnTick(now);
  sweeper_.OnTick(now);
}

void OnceController::OnClaimDecided(RequestId id,
                                    const OnceDecision& decision) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const DecisionHook decided = std::move(found->second);
  pending_.erase(found);
  LogIfUnknown(id, decision);
  decided(decision);
}

void OnceController::LogIfUnknown(RequestId id, const OnceDecision& decision) {
  const bool is_unknown = decision.action == OnceAction::kRespond &&
                          decision.outcome == Outcome::kUnknown &&
                          decision.reason != OnceReason::kInProgress;
  if (!is_unknown) {
    return;
  }
  Event event{.id = EventId::kClaimDoubtful};
  event.fields = {{"request", absl::StrCat(id.value())},
                  {"reason", OnceReasonName(decision.reason)}};
  hooks_.event(event);
}

}  // namespace papaya
