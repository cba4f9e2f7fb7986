#ifndef SRC_DAEMON_TICKET_JSON_H_
#define SRC_DAEMON_TICKET_JSON_H_

#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Returns `count` from the body of `POST /v1/tickets`; 0 if it is missing or
// malformed.
int ParseTicketCount(const std::string& body);

// Formats the response: the tickets and their lifetime.
std::string FormatTickets(const std::vector<std::string>& tickets,
                          Duration lifetime);

}  // namespace papaya

#endif  // SRC_DAEMON_TICKET_JSON_H_
