#include "include/once/ticket_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "include/base/error.h"

namespace papaya {

namespace {

constexpr char kSeparator[] = "~";
constexpr size_t kFieldCount = 4;
// The SHA-256 digest is truncated to its first half, 128 bits.
constexpr size_t kMacBytes = 16;

absl::Status InvalidTicketError() {
  return MakeError(
      absl::StatusCode::kInvalidArgument, {.step = "ticket.decode"},
      "ticket is malformed or was not issued by this fleet to this account");
}

}  // namespace

TicketCodec::TicketCodec(std::string fleet_secret)
    : fleet_secret_(std::move(fleet_secret)) {}

std::string TicketCodec::Encode(const Ticket& ticket,
                                const AccountId& account) const {
  const std::string fields = absl::StrJoin(
      {ticket.issuer.value(), absl::StrCat(ticket.incarnation.value()),
       absl::StrCat(ticket.serial),
       absl::StrCat(ticket.expires.time_since_epoch().count())},
      kSeparator);
  return absl::StrCat(fields, kSeparator, Sign(fields, account));
}

absl::StatusOr<Ticket> TicketCodec::Decode(const std::string& text,
                                           const AccountId& account) const {
  const size_t mac_start = text.rfind(kSeparator);
  if (mac_start == std::string::npos) {
    return InvalidTicketError();
  }
  const std::string fields = text.substr(0, mac_start);
  const std::string mac = text.substr(mac_start + 1);
  const std::string expected = Sign(fields, account);
  if (mac.size() != expected.size() ||
      CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
    return InvalidTicketError();
  }

  const std::vector<std::string> parts = absl::StrSplit(fields, kSeparator);
  uint64_t incarnation = 0;
  uint64_t serial = 0;
  int64_t expires = 0;
  if (parts.size() != kFieldCount ||
      !absl::SimpleAtoi(parts[1], &incarnation) ||
      !absl::SimpleAtoi(parts[2], &serial) ||
      !absl::SimpleAtoi(parts[3], &expires)) {
    return InvalidTicketError();
  }
  return Ticket{.issuer = RouterId(parts[0]),
                .incarnation = Incarnation(incarnation),
                .serial = serial,
                .expires = TimePoint(Duration(expires))};
}

std::string TicketCodec::Sign(const std::string& fields,
                              const AccountId& account) const {
  const std::string message = absl::StrCat(fields, "\n", account.value());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int digest_size = 0;
  HMAC(EVP_sha256(), fleet_secret_.data(),
       static_cast<int>(fleet_secret_.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest.data(), &digest_size);
  return absl::BytesToHexString(
      std::string(reinterpret_cast<const char*>(digest.data()), kMacBytes));
}

}  // namespace papaya
