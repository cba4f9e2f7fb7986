#ifndef INCLUDE_ONCE_CLAIM_MESSAGES_H_
#define INCLUDE_ONCE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/once/stored_answer.h"

namespace papaya {

// Asks the router incarnation that claimed a key what became of it.
struct ClaimQuery {
  RouterId from;
  Incarnation claimer;
  // Name of the claim, as ClaimName gives it.
  std::string claim;
};

// What the claimer knows of the key.
enum class ClaimState : uint8_t {
  kRunning,
  kEnded,
  kForgotten,
};

// The answer to a ClaimQuery.
struct ClaimReply {
  std::string claim;
  ClaimState state = ClaimState::kForgotten;
  // With kEnded.
  Outcome outcome = Outcome::kUnknown;
  StoredAnswer answer;
};

// The name that a client account's idempotency key has in the Object API: 64
// hex digits, so that neither can be read from it.
std::string ClaimName(const AccountId& account, const IdempotencyKey& key);

}  // namespace papaya

#endif  // INCLUDE_ONCE_CLAIM_MESSAGES_H_
