#ifndef SRC_WIRE_PEER_FRAME_H_
#define SRC_WIRE_PEER_FRAME_H_

#include <cstddef>
#include <optional>
#include <string>

#include "absl/status/statusor.h"

namespace papaya {

// The longest content of a frame between routers, in bytes.
inline constexpr size_t kMaxPeerFrameBytes = size_t{1} << 20;

// `content` with its length in front, as it goes over the wire.
std::string MakePeerFrame(const std::string& content);

// Cuts a byte stream into frames, however the bytes are split.
class PeerFrameReader {
 public:
  // A frame longer than `max_content` is an error.
  explicit PeerFrameReader(size_t max_content) : max_content_(max_content) {}

  // Sets the bound for the frames to come.
  void set_max_content(size_t max_content) { max_content_ = max_content; }

  // Takes the next bytes.
  void Append(const std::string& bytes);

  // The memory of the bytes that were taken and not returned yet.
  size_t held_bytes() const { return pending_.capacity(); }

  // The content of the next frame; empty if it is not whole yet. Fails with
  // kResourceExhausted on a frame that is too long; the reader is of no use
  // then.
  absl::StatusOr<std::optional<std::string>> Next();

 private:
  size_t max_content_;
  std::string pending_;
  // Where the next frame starts in pending_.
  size_t at_ = 0;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_FRAME_H_
