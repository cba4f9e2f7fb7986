#ifndef INCLUDE_BASE_IDS_H_
#define INCLUDE_BASE_IDS_H_

#include <cstdint>

#include "include/base/strong_id.h"
#include "include/base/strong_number.h"

namespace papaya {

// Names, unique within one fleet.
using FleetId = StrongId<struct FleetIdTag>;
using RouterId = StrongId<struct RouterIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using VmId = StrongId<struct VmIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using AvailabilityZoneId = StrongId<struct AvailabilityZoneIdTag>;
using AccountId = StrongId<struct AccountIdTag>;
using RouteId = StrongId<struct RouteIdTag>;
using NoteId = StrongId<struct NoteIdTag>;
// A version of the back end of a pool, as release notes name it.
using VersionId = StrongId<struct VersionIdTag>;
// The upstreams that serve one model or one plain service.
using PoolId = StrongId<struct PoolIdTag>;
// A generation of accelerator hardware, as `g3`.
using GenerationId = StrongId<struct GenerationIdTag>;
// The Idempotency-Key header of a caller, or a ticket issued by a router.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// Names one write to the Object API, so that a lost answer can be read back.
using OperationId = StrongId<struct OperationIdTag>;

// Unique within one router incarnation.
using RequestId = StrongNumber<struct RequestIdTag, uint64_t>;
// Grows each time a router starts; tells news of a dead process from the
// living one that has its name.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;
// Revision of the fleet configuration; 0 is none.
using Revision = StrongNumber<struct RevisionTag, uint64_t>;
// Lease epoch, handed to upstreams as the fencing number of an order.
using FencingNumber = StrongNumber<struct FencingNumberTag, uint64_t>;
// The hash of one part of a prompt. Requests that hold the same text there have
// the same one.
using PromptPartId = StrongNumber<struct PromptPartIdTag, uint64_t>;
// The hash of an UpstreamId, that is, of one start of an upstream, which can
// crash only once.
using CrashId = StrongNumber<struct CrashIdTag, uint64_t>;
// Counts the times that the platform's store came back from an older copy.
using StoreEra = StrongNumber<struct StoreEraTag, uint64_t>;
// Version of one object in the Object API; 0 is absent.
using ObjectVersion = StrongNumber<struct ObjectVersionTag, uint64_t>;

}  // namespace papaya

#endif  // INCLUDE_BASE_IDS_H_
