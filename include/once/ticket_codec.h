#ifndef INCLUDE_ONCE_TICKET_CODEC_H_
#define INCLUDE_ONCE_TICKET_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/once/ticket.h"

namespace papaya {

// Tickets as the text that callers hold: the ticket's fields and a message
// authentication code, so that no caller can make one up or use another
// account's.
class TicketCodec {
 public:
  // `fleet_secret` is the same on all routers of a fleet.
  explicit TicketCodec(std::string fleet_secret);

  std::string Encode(const Ticket& ticket, const AccountId& account) const;

  // Fails with kInvalidArgument if `text` is not a ticket that this fleet
  // issued to `account`.
  absl::StatusOr<Ticket> Decode(const std::string& text,
                                const AccountId& account) const;

 private:
  std::string Sign(const std::string& fields, const AccountId& account) const;

  std::string fleet_secret_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_TICKET_CODEC_H_
