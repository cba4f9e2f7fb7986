#ifndef SRC_WIRE_PEER_HANDSHAKE_H_
#define SRC_WIRE_PEER_HANDSHAKE_H_

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"

namespace papaya {

// The longest frame of a handshake, in bytes.
inline constexpr size_t kMaxHandshakeBytes = 1024;

// One end of the proof that both ends of a connection know the fleet secret.
// Each sends Hello, with a nonce of its own, and after the other's Hello its
// Proof. Nothing else that comes over the connection may be believed before
// CheckProof succeeded.
class PeerHandshake {
 public:
  enum class Role : uint8_t { kDialer, kAcceptor };

  PeerHandshake(Role role,
                FleetId fleet,
                RouterId self,
                std::string fleet_secret);

  // The first frame to send.
  std::string Hello() const;

  // Takes the other end's first frame. Fails with kPermissionDenied if it is
  // of another fleet or bears this router's own name, kInvalidArgument if it
  // is broken.
  absl::Status CheckHello(const std::string& frame);

  // The second frame to send. CheckHello must have succeeded.
  std::string Proof() const;

  // Takes the other end's second frame. Fails with kPermissionDenied if it
  // does not know the secret, kInvalidArgument if it is broken.
  absl::Status CheckProof(const std::string& frame);

  // The other end's name; proven once CheckProof succeeded.
  const RouterId& peer() const { return peer_; }

  // Whether the other end acknowledges the frames that it receives; valid once
  // CheckProof succeeded. Routers of older versions don't.
  bool peer_acknowledges() const { return peer_acknowledges_; }

 private:
  std::string MakeCode(Role prover) const;

  Role role_;
  FleetId fleet_;
  RouterId self_;
  std::string fleet_secret_;
  std::string nonce_;
  RouterId peer_;
  std::string peer_nonce_;
  bool peer_acknowledges_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_HANDSHAKE_H_
