#include "include/telemetry/event_catalog.h"

#include <algorithm>
#include <cassert>

namespace papaya {

const char* SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

const std::vector<EventInfo>& EventCatalog() {
  static const std::vector<EventInfo> catalog = {
      // Daemon.
      {EventId::kRouterStarting, Severity::kInfo, "router_starting",
       "The router process has read its settings and starts."},
      {EventId::kRouterReady, Severity::kInfo, "router_ready",
       "A configuration is in force; the balancer may send callers."},
      {EventId::kRouterDraining, Severity::kInfo, "router_draining",
       "The router was told to stop: it takes no new connection and finishes "
       "what it has."},
      {EventId::kRouterStopped, Severity::kInfo, "router_stopped",
       "The router has finished all it had and ends."},

      // Wire.
      {EventId::kListening, Severity::kInfo, "listening",
       "A server socket is open on the address given."},

      // Settings and store.
      {EventId::kSettingsRefused, Severity::kError, "settings_refused",
       "The settings have faults, all of them listed; mend them and start "
       "again."},

      // Membership and configuration.
      {EventId::kRevisionInForce, Severity::kInfo, "revision_in_force",
       "This router follows a newer revision of the configuration."},

      // Routing and admission.
      {EventId::kStragglerSetAside, Severity::kWarning, "straggler_set_aside",
       "An upstream is much slower than others of its kind and gets little "
       "work until it recovers; look at its VM if it stays so."},
      {EventId::kStragglerRecovered, Severity::kInfo, "straggler_recovered",
       "An upstream that was set aside keeps up with its kind again."},

      // At-most-once.
      {EventId::kClaimDoubtful, Severity::kWarning, "claim_doubtful",
       "A request that must not run twice was answered `unknown`; its caller "
       "must find out at the service itself."},

      // Release notes.
      {EventId::kNoteStateChanged, Severity::kInfo, "note_state_changed",
       "A release note went to another state, with the reason."},

      // Stand-ins and tools.
      {EventId::kStandinStarted, Severity::kInfo, "standin_started",
       "A stand-in serves on the address given."},
  };
  return catalog;
}

const EventInfo& GetEventInfo(EventId id) {
  const std::vector<EventInfo>& catalog = EventCatalog();
  const auto found =
      std::find_if(catalog.begin(), catalog.end(),
                   [id](const EventInfo& info) { return info.id == id; });
  assert(found != catalog.end());
  return *found;
}

}  // namespace papaya
