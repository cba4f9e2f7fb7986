#ifndef INCLUDE_WIRE_PEER_CODEC_H_
#define INCLUDE_WIRE_PEER_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/wire/peer_message.h"

namespace papaya {

// `message` as a FlatBuffer of schemas/peer.fbs: the content of one frame.
std::string EncodePeerMessage(const PeerMessage& message);

// Reads EncodePeerMessage's bytes. They are verified first: any bytes are safe
// to pass. Fails with kInvalidArgument if they are no message, or hold a value
// out of its range, and with kUnimplemented if a later release has added the
// message.
absl::StatusOr<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace papaya

#endif  // INCLUDE_WIRE_PEER_CODEC_H_
