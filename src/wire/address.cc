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

absl::StatusOr<uint16_t> ListenAt(const std::string& address,
                                  const std::string& step,
                                  boost::asio::ip::tcp::acceptor* acceptor) {
  const absl::StatusOr<boost::asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  boost::system::error_code error;
  acceptor->open(endpoint->protocol(), error);
  if (!error) {
    acceptor->set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor->bind(*endpoint, error);
  }
  if (!error) {
    acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(absl::StatusCode::kUnavailable,
                     {.step = step, .peer = address}, error.message());
  }
  return acceptor->local_endpoint().port();
}

}  // namespace papaya
