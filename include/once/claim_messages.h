#ifndef INCLUDE_ONCE_CLAIM_MESSAGES_H_
#define INCLUDE_ONCE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/once/stored_answer.h"

namespace papaya {

// A query to the router incarnation that claimed a key for the state of that
// key.
struct ClaimQuery {
  RouterId from;
  Incarnation claimer;
  // Claim name of the key, as returned by ClaimName.
  std::string claim;
};

// State of a key at the router that claimed it. The values are part of the peer
// protocol.
enum class ClaimState : uint8_t {
  kRunning,    // the request is in progress
  kEnded,      // the outcome is known
  kForgotten,  // no record of the key or of the claiming incarnation
};

// The reply to a ClaimQuery.
struct ClaimReply {
  std::string claim;
  ClaimState state = ClaimState::kForgotten;
  // With kEnded: the outcome, and the response if it was kept.
  Outcome outcome = Outcome::kUnknown;
  StoredAnswer answer;
};

// Returns the name of a client account's idempotency key in the Object API: the
// SHA-256 digest of account and key as 64 hexadecimal digits, so that stored
// names reveal neither of them.
std::string ClaimName(const AccountId& account, const IdempotencyKey& key);

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_MESSAGES_H_
