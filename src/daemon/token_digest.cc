#include "src/daemon/token_digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include "absl/strings/match.h"
#include "src/daemon/router_error.h"

namespace papaya {

namespace {

constexpr char kBearer[] = "Bearer ";

const unsigned char* Octets(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256(const std::string& text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(Octets(text), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string HmacSha256(const std::string& key, const std::string& text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Octets(text),
       text.size(), reinterpret_cast<unsigned char*>(digest.data()), nullptr);
  return digest;
}

bool EqualInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string BearerToken(const HttpHeaders& headers) {
  const std::string value = headers.Get(kAuthorizationHeader);
  if (!absl::StartsWithIgnoreCase(value, kBearer)) {
    return "";
  }
  return value.substr(sizeof(kBearer) - 1);
}

}  // namespace papaya
