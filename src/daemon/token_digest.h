#ifndef SRC_DAEMON_TOKEN_DIGEST_H_
#define SRC_DAEMON_TOKEN_DIGEST_H_

#include <string>

#include "include/wire/http_message.h"

namespace papaya {

// SHA-256 of `text`, 32 bytes.
std::string Sha256(const std::string& text);

// HMAC-SHA-256 of `text` under `key`, 32 bytes.
std::string HmacSha256(const std::string& key, const std::string& text);

// True if both are equal; the time taken tells nothing of where they differ.
bool EqualInConstantTime(const std::string& a, const std::string& b);

// The bearer token of a request; empty if it brings none.
std::string BearerToken(const HttpHeaders& headers);

}  // namespace papaya

#endif  // SRC_DAEMON_TOKEN_DIGEST_H_
