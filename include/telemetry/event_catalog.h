#ifndef INCLUDE_TELEMETRY_EVENT_CATALOG_H_
#define INCLUDE_TELEMETRY_EVENT_CATALOG_H_

#include <cstdint>
#include <vector>

namespace papaya {

// The number of a log event. Numbers are never used again for another event.
// Blocks: 1000 daemon, 2000 wire, 3000 settings and store, 4000 membership and
// configuration, 5000 routing and admission, 6000 at-most-once, 7000 release
// notes, 8000 gateway.
enum class EventId : uint16_t {
  // Daemon.
  kRouterStarting = 1001,
  kRouterReady = 1002,
  kRouterDraining = 1003,
  kRouterStopped = 1004,
  kLogLinesLost = 1005,
  kEventsLeftOut = 1006,
  kUnexpectedError = 1007,

  // Wire.
  kListening = 2001,
  kStreamCut = 2002,
  kPeerRefused = 2003,
  kPeerSilent = 2004,

  // Settings and store.
  kSettingsRefused = 3001,
  kStoreLost = 3002,
  kStoreRegained = 3003,
  kEntryRefused = 3004,
  kSettingsReloaded = 3005,
  kSettingIgnored = 3026,
  kStoreCalls = 3056,
  kStoreReading = 3057,
  kStoreSilent = 3058,
  kStoreRestored = 3059,
  kStoreEraRefused = 3060,

  // Membership and configuration.
  kRevisionInForce = 4001,
  kConfigRefused = 4002,
  kConfigConflict = 4003,
  kConfigBehindKnown = 4004,
  kConfigReadFailed = 4005,
  kVersionStopped = 4006,
  kUpstreamLeaving = 4007,
  kFactRefused = 4008,
  kRouterJoined = 4021,
  kRouterSuspected = 4022,
  kRouterDead = 4023,
  kRouterLeaving = 4024,
  kSuspicionRefuted = 4025,
  kRouterNameClash = 4026,
  kUpstreamRegistered = 4031,
  kUpstreamDraining = 4032,
  kUpstreamGone = 4033,
  kManifestInForce = 4034,
  kManifestRefused = 4035,
  kSeedsChanged = 4050,

  // Routing and admission.
  kStragglerSetAside = 5001,
  kStragglerRecovered = 5002,
  kQuotaShareChanged = 5033,

  // At-most-once.
  kClaimDoubtful = 6001,

  // Release notes.
  kNoteStateChanged = 7001,

  // Gateway.
  kRequestServed = 8001,
  kRequestFailed = 8002,
  kRequestRejected = 8003,
  kUpstreamClosed = 8004,
  kResponseCut = 8005,
  kAttemptBroken = 8006,
  kMoveOrdered = 8011,
  kMoveDecided = 8012,
  kMoveWriteFailed = 8013,
  kMoveStaged = 8014,
  kPartQuarantined = 8021,
  kQuarantineEnded = 8022,
  kArchiveFailed = 8023,
  kUpstreamCold = 8024,
  kUpstreamWarm = 8025,
  kWarmupHeldBack = 8026,
  kWarmupRefused = 8027,
  kLoopDelayed = 8031,
  kUpstreamLimited = 8041,
  kUpstreamUnlimited = 8042,
  kLimitRefused = 8043,
  kZoneEvacuated = 8052,
  kEvacuationLifted = 8053,
  kEvacuationRefused = 8054,
  kEvacuatedZoneUnknown = 8055,
  kNoUpstreamAllowed = 8056,
  kMemoryReadingPaused = 8061,
  kMemoryReadingResumed = 8062,
  kMemoryRejecting = 8063,
  kMemoryRejectingEnded = 8064,
  kMemoryLimitRefused = 8065,
};

enum class Severity : uint8_t { kDebug, kInfo, kWarning, kError };

// `debug`, `info`, `warning` or `error`.
const char* SeverityName(Severity severity);

// What docs/EVENTS.md says of an event.
struct EventInfo {
  EventId id;
  Severity severity;
  // Short name in the log line, as `router_ready`.
  const char* name;
  // One sentence: what happened, and what an operator does about it if
  // anything.
  const char* meaning;
};

// All events, by number.
const std::vector<EventInfo>& EventCatalog();

// The entry of `id`, which must be in the catalogue.
const EventInfo& GetEventInfo(EventId id);

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_EVENT_CATALOG_H_
