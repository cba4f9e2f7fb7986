#include "src/wire/peer_handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "src/wire/handshake_generated.h"

namespace papaya {

namespace {

constexpr size_t kNonceBytes = 32;
constexpr size_t kCodeBytes = 32;

std::string RandomNonce() {
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
             static_cast<int>(nonce.size()));
  return nonce;
}

absl::Status Fault(absl::StatusCode code,
                   const RouterId& peer,
                   const std::string& message) {
  return MakeError(code, {.step = "peer.handshake", .peer = peer.value()},
                   message);
}

flatbuffers::Offset<flatbuffers::Vector<uint8_t>> PackOctets(
    flatbuffers::FlatBufferBuilder& builder,
    const std::string& bytes) {
  return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()),
                              bytes.size());
}

std::string Pack(const FleetId& fleet,
                 const RouterId& router,
                 const std::string& nonce,
                 const std::string& proof,
                 bool acknowledges) {
  flatbuffers::FlatBufferBuilder builder;
  const auto packed_fleet = builder.CreateString(fleet.value());
  const auto packed_router = builder.CreateString(router.value());
  const auto packed_nonce = PackOctets(builder, nonce);
  const auto packed_proof = PackOctets(builder, proof);
  fb::FinishHandshakeBuffer(
      builder, fb::CreateHandshake(builder, packed_fleet, packed_router,
                                   packed_nonce, packed_proof, acknowledges));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

// The handshake in `frame`; null if it is none.
const fb::Handshake* Unpack(const std::string& frame) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(frame.data()),
                                 frame.size());
  return fb::VerifyHandshakeBuffer(verifier) ? fb::GetHandshake(frame.data())
                                             : nullptr;
}

std::string ToText(const flatbuffers::String* text) {
  return text == nullptr ? "" : text->str();
}

std::string ToBytes(const flatbuffers::Vector<uint8_t>* bytes) {
  return bytes == nullptr ? "" : std::string(bytes->begin(), bytes->end());
}

}  // namespace

PeerHandshake::PeerHandshake(Role role,
                             FleetId fleet,
                             RouterId self,
                             std::string fleet_secret)
    : role_(role),
      fleet_(std::move(fleet)),
      self_(std::move(self)),
      fleet_secret_(std::move(fleet_secret)),
      nonce_(RandomNonce()) {}

std::string PeerHandshake::Hello() const {
  return Pack(fleet_, self_, nonce_, "", /*acknowledges=*/false);
}

absl::Status PeerHandshake::CheckHello(const std::string& frame) {
  const fb::Handshake* hello = Unpack(frame);
  if (hello == nullptr) {
    return Fault(absl::StatusCode::kInvalidArgument, peer_, "broken hello");
  }
  peer_ = RouterId(ToText(hello->router()));
  peer_nonce_ = ToBytes(hello->nonce());
  if (peer_nonce_.size() != kNonceBytes || peer_.empty()) {
    return Fault(absl::StatusCode::kInvalidArgument, peer_, "broken hello");
  }
  if (ToText(hello->fleet()) != fleet_.value()) {
    return Fault(absl::StatusCode::kPermissionDenied, peer_,
                 "a router of another fleet");
  }
  if (peer_ == self_) {
    return Fault(absl::StatusCode::kPermissionDenied, peer_,
                 "it bears this router's own name");
  }
  return absl::OkStatus();
}

std::string PeerHandshake::Proof() const {
  return Pack(fleet_, self_, "", MakeCode(role_), /*acknowledges=*/true);
}

absl::Status PeerHandshake::CheckProof(const std::string& frame) {
  const fb::Handshake* proof = Unpack(frame);
  if (proof == nullptr) {
    return Fault(absl::StatusCode::kInvalidArgument, peer_, "broken proof");
  }
  const Role other = role_ == Role::kDialer ? Role::kAcceptor : Role::kDialer;
  const std::string expected = MakeCode(other);
  const std::string code = ToBytes(proof->proof());
  if (code.size() != expected.size() ||
      CRYPTO_memcmp(code.data(), expected.data(), code.size()) != 0) {
    return Fault(absl::StatusCode::kPermissionDenied, peer_,
                 "it does not know the fleet secret");
  }
  peer_acknowledges_ = proof->acknowledges();
  return absl::OkStatus();
}

std::string PeerHandshake::MakeCode(Role prover) const {
  const bool dials = role_ == Role::kDialer;
  const std::string& dialer = dials ? self_.value() : peer_.value();
  const std::string& acceptor = dials ? peer_.value() : self_.value();
  const std::string& dialer_nonce = dials ? nonce_ : peer_nonce_;
  const std::string& acceptor_nonce = dials ? peer_nonce_ : nonce_;
  // Lengths keep fields apart; the role keeps a code from being sent back.
  std::string text = prover == Role::kDialer ? "dialer" : "acceptor";
  for (const std::string* field :
       std::vector<const std::string*>{&fleet_.value(), &dialer, &acceptor,
                                       &dialer_nonce, &acceptor_nonce}) {
    absl::StrAppend(&text, "\n", field->size(), ":", *field);
  }
  std::string code(kCodeBytes, '\0');
  HMAC(EVP_sha256(), fleet_secret_.data(),
       static_cast<int>(fleet_secret_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(code.data()), nullptr);
  return code;
}

}  // namespace papaya
