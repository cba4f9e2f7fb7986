#include "include/once/claim_messages.h"

#include <openssl/sha.h>

#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace papaya {

std::string ClaimName(const AccountId& account, const IdempotencyKey& key) {
  const std::string text = absl::StrCat(account.value(), "\n", key.value());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return absl::BytesToHexString(
      std::string(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

}  // namespace papaya
