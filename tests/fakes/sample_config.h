#ifndef TESTS_FAKES_SAMPLE_CONFIG_H_
#define TESTS_FAKES_SAMPLE_CONFIG_H_

#include <cstddef>
#include <string>

#include "absl/strings/str_format.h"
#include "include/base/random.h"
#include "include/config/fleet_config.h"

namespace papaya {

inline constexpr size_t kSamplePools = 8;
inline constexpr size_t kSampleZones = 12;

// The `index`-th upstream of a sample configuration.
inline UpstreamSpec MakeSampleUpstream(size_t index, Random* random) {
  UpstreamSpec upstream;
  upstream.id = UpstreamId(absl::StrFormat("upstream-%05d", index));
  upstream.vm = VmId(absl::StrFormat("vm-%05d", index));
  upstream.address = absl::StrFormat("10.%d.%d.%d:8000", index / 65536 % 256,
                                     index / 256 % 256, index % 256);
  upstream.zone = AvailabilityZoneId(
      absl::StrFormat("zone-%02d", random->Below(kSampleZones)));
  upstream.pool =
      PoolId(absl::StrFormat("pool-%d", random->Below(kSamplePools)));
  upstream.version = VersionId(random->Chance(0.5) ? "v1" : "v2");
  upstream.generation = GenerationId(absl::StrFormat("g%d", random->Below(4)));
  upstream.slots = 16;
  upstream.checks_fencing = random->Chance(0.5);
  return upstream;
}

// A checked configuration with that many upstreams, of two versions in each of
// eight pools, over twelve availability zones.
inline FleetConfig MakeSampleConfig(Revision revision,
                                    size_t upstreams,
                                    Random* random) {
  FleetConfig config;
  config.revision = revision;
  config.note = NoteId("note-" + std::to_string(revision.value()));
  config.upstreams.reserve(upstreams);
  for (size_t i = 0; i < upstreams; ++i) {
    config.upstreams.push_back(MakeSampleUpstream(i, random));
  }
  for (size_t pool = 0; pool < kSamplePools; ++pool) {
    const PoolId id(absl::StrFormat("pool-%d", pool));
    const int32_t share = static_cast<int32_t>(random->Below(1001));
    config.shares.push_back({id, VersionId("v1"), Permille(share)});
    config.shares.push_back({id, VersionId("v2"), Permille(1000 - share)});
  }
  return config;
}

// The next revision of `config`: `changes` upstreams at random get another
// version, and one pool other shares.
inline FleetConfig MakeNextConfig(const FleetConfig& config,
                                  size_t changes,
                                  Random* random) {
  FleetConfig next = config;
  next.revision = config.revision.Next();
  next.note = NoteId("note-" + std::to_string(next.revision.value()));
  for (size_t i = 0; i < changes && !next.upstreams.empty(); ++i) {
    UpstreamSpec& upstream =
        next.upstreams[random->Below(next.upstreams.size())];
    upstream.version =
        VersionId(upstream.version.value() == "v1" ? "v2" : "v1");
  }
  const size_t pool = random->Below(kSamplePools);
  const int32_t share = static_cast<int32_t>(random->Below(1001));
  next.shares[2 * pool].share = Permille(share);
  next.shares[2 * pool + 1].share = Permille(1000 - share);
  return next;
}

}  // namespace papaya

#endif  // TESTS_FAKES_SAMPLE_CONFIG_H_
