#ifndef SRC_WIRE_ADDRESS_H_
#define SRC_WIRE_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "absl/status/statusor.h"

namespace papaya {

// Reads `IP:PORT`, or `[IP]:PORT` for IPv6.
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

}  // namespace papaya

#endif  // SRC_WIRE_ADDRESS_H_
