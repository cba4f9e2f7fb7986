#ifndef INCLUDE_BASE_ENCODED_SIZE_H_
#define INCLUDE_BASE_ENCODED_SIZE_H_

#include <cstddef>
#include <string>

namespace papaya {

// Estimates of what a message between routers takes on the wire, for measures
// and byte budgets of decision cores that know no codec. Whole messages are
// estimated as kFrameBytes plus the sum of their parts.

// TCP and IP headers with timestamps, frame length, buffer root, file
// identifier and the union that names the message.
inline constexpr size_t kFrameBytes = 104;
// A table in a vector: its offset, its link to the shared layout, padding.
inline constexpr size_t kTableBytes = 12;
// A vector: its offset and its length.
inline constexpr size_t kVectorBytes = 8;
// A 64-bit number, with its share of alignment.
inline constexpr size_t kNumberBytes = 8;

// A string field: offset, length, text with terminator, padded to 4 bytes.
// An empty one is left out.
inline size_t EncodedStringBytes(const std::string& text) {
  return text.empty() ? 0 : 8 + (text.size() + 4) / 4 * 4;
}

}  // namespace papaya

#endif  // INCLUDE_BASE_ENCODED_SIZE_H_
