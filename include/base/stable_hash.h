#ifndef INCLUDE_BASE_STABLE_HASH_H_
#define INCLUDE_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string>

namespace papaya {

// A hash that all processes of a fleet agree on, over restarts and releases.
// Not for secrets.
uint64_t StableHash(const std::string& text, uint64_t seed = 0);

// Mixes two hashes into one; the order matters.
uint64_t CombineHashes(uint64_t first, uint64_t second);

// `hash` mapped to [0, 1), as for shares of traffic and rendezvous weights.
double HashToUnit(uint64_t hash);

}  // namespace papaya

#endif  // INCLUDE_BASE_STABLE_HASH_H_
