#include "src/wire/address.h"

#include "absl/strings/numbers.h"
#include "include/base/error.h"

namespace papaya {

namespace {

constexpr uint32_t kMaxPort = 65535;

std::string StripBrackets(const std::string& host) {
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? host.substr(1, host.size() - 2) : host;
}

}  // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const ErrorOrigin origin{.step = "address.parse", .peer = address};
  const size_t colon = address.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > kMaxPort) {
    return MakeError(absl::StatusCode::kInvalidArgument, origin,
                     "expected IP:PORT");
  }
  boost::system::error_code error;
  const boost::asio::ip::address ip = boost::asio::ip::make_address(
      StripBrackets(address.substr(0, colon)), error);
  if (error) {
    return MakeError(absl::StatusCode::kInvalidArgument, origin,
                     error.message());
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(port));
}

}  // namespace papaya
