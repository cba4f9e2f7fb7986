#ifndef SRC_DAEMON_TICKET_JSON_H_
#define SRC_DAEMON_TICKET_JSON_H_

#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// The `count` of the body of `POST /v1/tickets`; 0 if there is none.
int ParseTicketCount(const std::string& body);

// The answer: the tickets, and how long they may be used.
std::string FormatTickets(const std::vector<std::string>& tickets,
                          Duration lifetime);

}  // namespace papaya

#endif  // SRC_DAEMON_TICKET_JSON_H_
