#ifndef INCLUDE_ONCE_TICKET_CODEC_H_
#define INCLUDE_ONCE_TICKET_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/once/ticket.h"

namespace papaya {

// Converts tickets to and from the text that callers hold: the ticket's fields,
// joined by `~`, and a message authentication code over the fields and the
// account. The code prevents callers from forging tickets and from using those
// of another account.
class TicketCodec {
 public:
  // `fleet_secret` must be the same on all routers of a fleet.
  explicit TicketCodec(std::string fleet_secret);

  std::string Encode(const Ticket& ticket, const AccountId& account) const;

  // Returns kInvalidArgument if `text` is not a ticket that this fleet issued
  // to `account`. Does not check expiry.
  absl::StatusOr<Ticket> Decode(const std::string& text,
                                const AccountId& account) const;

 private:
  // Returns the authentication code in hexadecimal digits.
  std::string Sign(const std::string& fields, const AccountId& account) const;

  std::string fleet_secret_;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_TICKET_CODEC_H_
