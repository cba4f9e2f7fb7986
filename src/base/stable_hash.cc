#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr uint64_t kFnvPrime = 0x100000001b3;

// The finalizer of SplitMix64; spreads FNV's weak low bits.
uint64_t Finalize(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9;
  value ^= value >> 27;
  value *= 0x94d049bb133111eb;
  value ^= value >> 31;
  return value;
}

}  // namespace

uint64_t StableHash(const std::string& text, uint64_t seed) {
  uint64_t hash = kFnvOffset ^ Finalize(seed);
  for (char c : text) {
    hash ^= static_cast<uint8_t>(c);
    hash *= kFnvPrime;
  }
  return Finalize(hash);
}

uint64_t CombineHashes(uint64_t first, uint64_t second) {
  return Finalize(first * kFnvPrime + second);
}

double HashToUnit(uint64_t hash) {
  constexpr double kScale = 1.0 / (uint64_t{1} << 53);
  return static_cast<double>(hash >> 11) * kScale;
}

}  // namespace papaya
