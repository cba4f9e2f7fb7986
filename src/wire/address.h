#ifndef SRC_WIRE_ADDRESS_H_
#define SRC_WIRE_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace papaya {

// Reads `IP:PORT`, or `[IP]:PORT` for IPv6.
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

// Opens `acceptor`, closed till now, at `address`; port 0 takes a free one.
// Returns the port. Errors carry `step` and the address as peer: a malformed
// address is InvalidArgument, one that can't be had is Unavailable.
absl::StatusOr<uint16_t> ListenAt(const std::string& address,
                                  const std::string& step,
                                  boost::asio::ip::tcp::acceptor* acceptor);

}  // namespace papaya

#endif  // SRC_WIRE_ADDRESS_H_
