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
      {EventId::kLogLinesLost, Severity::kWarning, "log_lines_lost",
       "That many lines would have stood here, but nobody took the log for a "
       "while; look at what reads the router's standard output."},
      {EventId::kEventsLeftOut, Severity::kInfo, "events_left_out",
       "So many events of each name were not logged in the last second, to "
       "bound the log under load; counters have them all."},

      {EventId::kUnexpectedError, Severity::kError, "unexpected_error",
       "An error that the program does not expect was caught; the router goes "
       "on. Report it with the lines before it."},

      // Wire.
      {EventId::kListening, Severity::kInfo, "listening",
       "A server socket is open on the address given."},
      {EventId::kStreamCut, Severity::kWarning, "stream_cut",
       "A stream broke after its caller had got a part of it, and could not be "
       "resumed; look at the upstream named."},
      {EventId::kPeerRefused, Severity::kWarning, "peer_refused",
       "A connection with another process was closed because it did not prove "
       "the fleet secret or broke the protocol; check the settings of both."},
      {EventId::kPeerSilent, Severity::kWarning, "peer_silent",
       "A connection to another router went silent without an error: nothing "
       "was acknowledged for `silent_ms`. A new one has replaced it."},

      // Settings and store.
      {EventId::kSettingsRefused, Severity::kError, "settings_refused",
       "The settings have faults, all of them listed; mend them and start "
       "again."},
      {EventId::kStoreLost, Severity::kWarning, "store_lost",
       "Calls to the platform's store fail; the router goes on with what it "
       "knows."},
      {EventId::kStoreRegained, Severity::kInfo, "store_regained",
       "The platform's store answers again, after so long."},
      {EventId::kEntryRefused, Severity::kWarning, "entry_refused",
       "A registration in the platform's store names no upstream that can be "
       "used; whoever wrote it must mend it."},
      {EventId::kSettingsReloaded, Severity::kInfo, "settings_reloaded",
       "The settings file changed and its bounds are in force."},
      {EventId::kSettingIgnored, Severity::kError, "setting_ignored",
       "An optional entry of the settings has an invalid value and is left "
       "out; the others are in force. Correct the entry that `error` names."},
      {EventId::kStoreCalls, Severity::kInfo, "store_calls",
       "The calls to the platform's store of the last minute for one kind of "
       "object; `failed` is the part that returned an error."},
      {EventId::kStoreReading, Severity::kInfo, "store_reading",
       "This router begins or ceases to read the platform's store for the "
       "others of a large fleet."},
      {EventId::kStoreSilent, Severity::kWarning, "store_silent",
       "A watch got no response in time; its connection may have gone silent, "
       "and the watch is repeated on a new one."},
      {EventId::kStoreRestored, Severity::kWarning, "store_restored",
       "The platform's store has come back from an older copy, of the era "
       "`to`; "
       "all is listed anew, and what routers had written is written again."},
      {EventId::kStoreEraRefused, Severity::kWarning, "store_era_refused",
       "An answer of the platform's store names no era that can be used, or an "
       "earlier one than before; told once. `known` is the era that it had."},

      // Membership and configuration.
      {EventId::kRevisionInForce, Severity::kInfo, "revision_in_force",
       "This router follows a newer revision of the configuration."},
      {EventId::kConfigRefused, Severity::kError, "config_refused",
       "A configuration has faults, all of them listed, and is not followed; "
       "write a release note that mends it."},
      {EventId::kConfigConflict, Severity::kError, "config_conflict",
       "Another router has a different configuration of the same revision; "
       "write a release note to bring both to the next one."},
      {EventId::kConfigBehindKnown, Severity::kWarning, "config_behind_known",
       "A starting router follows an older revision than it has heard of, as "
       "neither the store nor a peer could give the newer one."},
      {EventId::kConfigReadFailed, Severity::kWarning, "config_read_failed",
       "The store did not give the configuration; the router tries again and "
       "goes on with what it has."},
      {EventId::kVersionStopped, Severity::kWarning, "version_stopped",
       "A version was seen to be bad and gets no more work here."},
      {EventId::kUpstreamLeaving, Severity::kInfo, "upstream_leaving",
       "An upstream is leaving and gets no new work here."},
      {EventId::kFactRefused, Severity::kError, "fact_refused",
       "A fact found no room; withdraw upstreams that are gone from the "
       "configuration."},
      {EventId::kRouterJoined, Severity::kInfo, "router_joined",
       "A router is known to run that was not before."},
      {EventId::kRouterSuspected, Severity::kWarning, "router_suspected",
       "A router does not answer; it is taken for dead unless it soon does."},
      {EventId::kRouterDead, Severity::kWarning, "router_dead",
       "A router is taken for dead; the platform replaces its VM if need be."},
      {EventId::kRouterLeaving, Severity::kInfo, "router_leaving",
       "Another router finishes what it has and will stop."},
      {EventId::kSuspicionRefuted, Severity::kInfo, "suspicion_refuted",
       "This router was suspected, and told the others that it runs."},
      {EventId::kRouterNameClash, Severity::kError, "router_name_clash",
       "Another process uses this router's name with a later start; give each "
       "its own name in the settings."},
      {EventId::kUpstreamRegistered, Severity::kInfo, "upstream_registered",
       "An upstream, or a new start of one, registered and may get work."},
      {EventId::kUpstreamDraining, Severity::kInfo, "upstream_draining",
       "An upstream said that it leaves, in the source named: its "
       "registration, a response, or another router's report; it gets no new "
       "work."},
      {EventId::kUpstreamGone, Severity::kInfo, "upstream_gone",
       "An upstream's registration is gone; it gets no new work."},
      {EventId::kManifestInForce, Severity::kInfo, "manifest_in_force",
       "Requests that arrive from now on go by this version of the manifest. "
       "`silent_ms` is how long nothing was heard from the store before."},
      {EventId::kManifestRefused, Severity::kError, "manifest_refused",
       "A manifest can't be read; the one before stays in force."},
      {EventId::kSeedsChanged, Severity::kInfo, "seeds_changed",
       "The settings file names other seeds; they are contacted from now on."},

      // Routing and admission.
      {EventId::kStragglerSetAside, Severity::kWarning, "straggler_set_aside",
       "An upstream is much slower than others of its kind and gets little "
       "work until it recovers; look at its VM if it stays so."},
      {EventId::kStragglerRecovered, Severity::kInfo, "straggler_recovered",
       "An upstream that was set aside keeps up with its kind again."},
      {EventId::kQuotaShareChanged, Severity::kWarning, "quota_share_changed",
       "Some of the routers known lately can't be reached, or can again; this "
       "router's side grants only the share of the quotas that is named. If it "
       "stays below 1, look for a partition or for routers that are down."},

      // At-most-once.
      {EventId::kClaimDoubtful, Severity::kWarning, "claim_doubtful",
       "A request that must not run twice was answered `unknown`; its caller "
       "must find out at the service itself."},

      // Release notes.
      {EventId::kNoteStateChanged, Severity::kInfo, "note_state_changed",
       "A release note went to another state, with the reason."},

      // Gateway.
      {EventId::kRequestServed, Severity::kInfo, "request_served",
       "A request was answered by an upstream, with the time it waited and "
       "took."},
      {EventId::kRequestFailed, Severity::kWarning, "request_failed",
       "A request ended without a good answer; `reason` says why, `upstream` "
       "where it was last."},
      {EventId::kRequestRejected, Severity::kInfo, "request_rejected",
       "A request was turned away by the manifest, or because there is none "
       "yet."},
      {EventId::kUpstreamClosed, Severity::kInfo, "upstream_closed",
       "An upstream rejected a request and asked for a delay; it gets no "
       "request from this router for so long, five minutes at most."},
      {EventId::kResponseCut, Severity::kWarning, "response_cut",
       "An upstream's response exceeded a limit of size or time and was "
       "abandoned; look at the upstream named."},
      {EventId::kAttemptBroken, Severity::kWarning, "attempt_broken",
       "An upstream closed the connection of an attempt before its response "
       "was complete; `events` it had sent, `parts` of the prompt are those "
       "that other requests may share."},
      {EventId::kMoveOrdered, Severity::kInfo, "move_ordered",
       "Operators ordered a service's requests to be moved to another "
       "version."},
      {EventId::kMoveDecided, Severity::kInfo, "move_decided",
       "This router tells the state of a move, with the reason, the requests "
       "to the new version that were compared, and those to both versions that "
       "were reported to it."},
      {EventId::kMoveWriteFailed, Severity::kWarning, "move_write_failed",
       "The state of a move could not be written; it is tried again, here or "
       "by another router."},
      {EventId::kMoveStaged, Severity::kInfo, "move_staged",
       "A move enters its next stage, with the requests compared and reported "
       "so far and the log of the evidence against the new version."},
      {EventId::kPartQuarantined, Severity::kWarning, "part_quarantined",
       "Upstreams crashed one after the other under requests with this part in "
       "their prompts; requests with it are rejected for so long. `times` in a "
       "row, `age_ms` since a router decided it. Look for what the part does "
       "to "
       "the engine."},
      {EventId::kQuarantineEnded, Severity::kInfo, "quarantine_ended",
       "Requests with the part are sent to upstreams again, because the "
       "quarantine expired or an upstream survived the part."},
      {EventId::kArchiveFailed, Severity::kWarning, "quarantine_archive_failed",
       "The quarantines in the platform's store could not be read or written; "
       "it is tried again. Routers tell each other of them meanwhile."},
      {EventId::kUpstreamCold, Severity::kInfo, "upstream_cold",
       "An upstream is or may be cold, by the source named: its registration, "
       "a response, a failed attempt, an outage of its zone or a lifted "
       "evacuation; few routers send to it, at its warm-up rate."},
      {EventId::kUpstreamWarm, Severity::kInfo, "upstream_warm",
       "An upstream is no longer cold and gets its full share again."},
      {EventId::kWarmupHeldBack, Severity::kWarning, "warmup_held_back",
       "This router knows no other router, so it sends nothing to cold "
       "upstreams while others take work; look at its network."},
      {EventId::kWarmupRefused, Severity::kWarning, "warmup_refused",
       "A registration or a response states a cold time that can't be used; "
       "the rest of it is, and whoever wrote it must mend it."},
      {EventId::kLoopDelayed, Severity::kWarning, "loop_delayed",
       "Events of this router waited for up to `delay_ms` before they were "
       "handled, because its VM was too slow for its work; the other fields "
       "are the time that kinds of work took in the interval."},
      {EventId::kUpstreamLimited, Severity::kWarning, "upstream_limited",
       "An upstream named the requests a second that it takes from all routers "
       "together; this router keeps its part of that."},
      {EventId::kUpstreamUnlimited, Severity::kInfo, "upstream_unlimited",
       "An upstream no longer names a limit and gets its full share again."},
      {EventId::kLimitRefused, Severity::kWarning, "limit_refused",
       "An upstream named a limit that can't be used, so none is kept; whoever "
       "wrote it must mend it."},
      {EventId::kZoneEvacuated, Severity::kWarning, "zone_evacuated",
       "Operators have evacuated an availability zone: its upstreams get no "
       "new requests from this router; requests that run there go on."},
      {EventId::kEvacuationLifted, Severity::kInfo, "evacuation_lifted",
       "The evacuation of an availability zone has ended after so long, "
       "because its entry was removed or became invalid; its upstreams get "
       "requests again."},
      {EventId::kEvacuationRefused, Severity::kError, "evacuation_refused",
       "An evacuation in the platform's store is invalid and has no effect; "
       "whoever wrote it must correct it."},
      {EventId::kEvacuatedZoneUnknown, Severity::kWarning,
       "evacuated_zone_unknown",
       "An evacuation names an availability zone that neither the settings "
       "nor a registration have; check its name. It holds for upstreams that "
       "register there later."},
      {EventId::kNoUpstreamAllowed, Severity::kWarning, "no_upstream_allowed",
       "Requests to a service are rejected because evacuations, or the regions "
       "that they are limited to, leave no upstream, as `reason` says; logged "
       "at most every ten seconds for each service and reason."},
      {EventId::kMemoryReadingPaused, Severity::kWarning,
       "memory_reading_paused",
       "Memory is short: large bodies of callers, or responses whose callers "
       "are slow, are not read on until some is free; `tier` is that of the "
       "first one."},
      {EventId::kMemoryReadingResumed, Severity::kInfo,
       "memory_reading_resumed",
       "For a second, nothing had to wait for memory."},
      {EventId::kMemoryRejecting, Severity::kWarning, "memory_rejecting",
       "Memory is short: new requests are rejected with 503, lower tiers "
       "first; `tier` is that of the first one. The fields are the bytes held "
       "by kind."},
      {EventId::kMemoryRejectingEnded, Severity::kInfo,
       "memory_rejecting_ended",
       "For a second, no request was rejected for want of memory."},
      {EventId::kMemoryLimitRefused, Severity::kError, "memory_limit_refused",
       "The memory limit in the settings can't be used, so the memory that "
       "callers use has no bound; correct the settings and restart."},
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
