#include "src/daemon/once_plane.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

TicketIssuer::Options MakeDeskOptions(const RouterSettings& settings,
                                      Incarnation incarnation) {
  TicketIssuer::Options options;
  options.router = settings.router;
  options.incarnation = incarnation;
  options.lifetime = OncePlane::kTicketLifetime;
  options.max_tickets = static_cast<size_t>(settings.limits.max_tickets);
  return options;
}

ClaimCoordinator::Options MakeKeeperOptions(const RouterSettings& settings,
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

OncePlane::OncePlane(const RouterSettings& settings,
                     Incarnation incarnation,
                     ObjectStore* store,
                     Hooks hooks,
                     uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      codec_(settings.fleet_secret),
      desk_(MakeDeskOptions(settings, incarnation), hooks_.is_alive),
      keeper_(MakeKeeperOptions(settings, incarnation),
              {.on_decision =
                   [this](RequestId id, const OnceDecision& verdict) {
                     OnClaimDecided(id, verdict);
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

std::vector<std::string> OncePlane::IssueTickets(const AccountId& account,
                                                 int count,
                                                 TimePoint now) {
  std::vector<std::string> texts;
  for (const Ticket& ticket : desk_.Issue(count, now)) {
    texts.push_back(codec_.Encode(ticket, account));
  }
  return texts;
}

absl::Status OncePlane::Decide(const OnceRequest& request,
                               TimePoint now,
                               Decided decided) {
  if (request.ticket.empty()) {
    undecided_[request.id] = std::move(decided);
    keeper_.Start({.id = request.id,
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
  const OnceDecision verdict = desk_.Decide(*ticket, now);
  if (verdict.action == OnceAction::kProceed) {
    tickets_[request.id] = *ticket;
  }
  LogIfDoubtful(request.id, verdict);
  decided(verdict);
  return absl::OkStatus();
}

void OncePlane::End(RequestId id, Outcome outcome, StoredAnswer answer) {
  const auto ticket = tickets_.find(id);
  if (ticket == tickets_.end()) {
    keeper_.End(id, outcome, std::move(answer));
    return;
  }
  desk_.End(ticket->second, outcome, std::move(answer));
  tickets_.erase(ticket);
}

void OncePlane::OnQuery(const ClaimQuery& query) {
  hooks_.send_reply(query.from, keeper_.OnQuery(query));
}

void OncePlane::OnReply(const ClaimReply& reply, TimePoint now) {
  keeper_.OnReply(reply, now);
}

void OncePlane::SetIncarnation(Incarnation incarnation, TimePoint now) {
  desk_.SetIncarnation(incarnation, now);
  keeper_.SetIncarnation(incarnation, now);
}

void OncePlane::OnTick(TimePoint now) {
  desk_.OnTick(now);
  keeper_.OnTick(now);
  sweeper_.OnTick(now);
}

void OncePlane::OnClaimDecided(RequestId id, const OnceDecision& verdict) {
  const auto found = undecided_.find(id);
  if (found == undecided_.end()) {
    return;
  }
  const Decided decided = std::move(found->second);
  undecided_.erase(found);
  LogIfDoubtful(id, verdict);
  decided(verdict);
}

void OncePlane::LogIfDoubtful(RequestId id, const OnceDecision& verdict) {
  const bool is_doubtful = verdict.action == OnceAction::kRespond &&
                           verdict.outcome == Outcome::kUnknown &&
                           verdict.reason != OnceReason::kInProgress;
  if (!is_doubtful) {
    return;
  }
  Event event{.id = EventId::kClaimDoubtful};
  event.fields = {{"request", absl::StrCat(id.value())},
                  {"reason", OnceReasonName(verdict.reason)}};
  hooks_.event(event);
}

}  // namespace papaya
