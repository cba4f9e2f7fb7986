#include "src/wire/peer_frame.h"

#include <cstdint>

#include "include/base/error.h"

namespace papaya {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr int kBitsPerByte = 8;
// An empty buffer is kept up to this size.
constexpr size_t kMaxIdleBytes = size_t{32} * 1024;

uint32_t ReadLength(const std::string& bytes, size_t at) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    const uint32_t byte = static_cast<unsigned char>(bytes[at + i]);
    length |= byte << (kBitsPerByte * i);
  }
  return length;
}

}  // namespace

std::string MakePeerFrame(const std::string& content) {
  std::string frame;
  frame.reserve(kLengthBytes + content.size());
  for (size_t i = 0; i < kLengthBytes; ++i) {
    frame += static_cast<char>(content.size() >> (kBitsPerByte * i));
  }
  frame += content;
  return frame;
}

void PeerFrameReader::Append(const std::string& bytes) {
  pending_.erase(0, at_);
  at_ = 0;
  pending_ += bytes;
}

absl::StatusOr<std::optional<std::string>> PeerFrameReader::Next() {
  std::optional<std::string> frame;
  const size_t available = pending_.size() - at_;
  if (available < kLengthBytes) {
    return frame;
  }
  const size_t length = ReadLength(pending_, at_);
  if (length > max_content_) {
    return MakeError(absl::StatusCode::kResourceExhausted,
                     {.step = "peer.frame"}, "a frame is too long");
  }
  if (available - kLengthBytes < length) {
    return frame;
  }
  frame = pending_.substr(at_ + kLengthBytes, length);
  at_ += kLengthBytes + length;
  if (at_ == pending_.size() && pending_.capacity() > kMaxIdleBytes) {
    // The memory of a long frame is not kept until the next one.
    pending_ = std::string();
    at_ = 0;
  }
  return frame;
}

}  // namespace papaya
