#ifndef INCLUDE_WIRE_FORWARD_MESSAGES_H_
#define INCLUDE_WIRE_FORWARD_MESSAGES_H_

#include <cstdint>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

// A request handed to the router that issued its ticket.
struct ForwardRequest {
  // Chosen by the sender; its reply carries the same.
  uint64_t serial = 0;
  // The caller's, as the sender proved it.
  AccountId account;
  std::string ticket;
  // As the caller sent it.
  HttpRequest request;
  // Left to the caller's deadline when the sender handed it over.
  Duration time_left{};
};

// The issuer's answer, to be passed to the caller.
struct ForwardReply {
  uint64_t serial = 0;
  HttpResponse response;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_FORWARD_MESSAGES_H_
