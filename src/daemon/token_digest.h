#ifndef SRC_DAEMON_TOKEN_DIGEST_H_
#define SRC_DAEMON_TOKEN_DIGEST_H_

#include <string>

#include "include/wire/http_message.h"

namespace papaya {

// Returns the SHA-256 digest of `text`, 32 bytes.
std::string Sha256(const std::string& text);

// Returns the HMAC-SHA-256 of `text` under `key`, 32 bytes.
std::string HmacSha256(const std::string& key, const std::string& text);

// Compares two strings. The time taken depends on their lengths only, not on
// where they differ.
bool EqualInConstantTime(const std::string& a, const std::string& b);

// Returns the bearer token of a request; empty if there is none.
std::string BearerToken(const HttpHeaders& headers);

}  // namespace papaya

#endif  // SRC_DAEMON_TOKEN_DIGEST_H_
