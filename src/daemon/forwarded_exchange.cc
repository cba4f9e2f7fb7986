#include "src/daemon/forwarded_exchange.h"

#include <utility>

namespace papaya {

namespace asio = boost::asio;

ForwardedExchange::ForwardedExchange(const asio::any_io_executor& executor,
                                     HttpRequest request,
                                     ResponseHook respond)
    : executor_(executor),
      request_(std::move(request)),
      respond_(std::move(respond)) {}

asio::awaitable<absl::Status> ForwardedExchange::Respond(
    HttpResponse response) {
  respond_(std::move(response));
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> ForwardedExchange::StartStream(
    HttpResponse head) {
  response_ = std::move(head);
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> ForwardedExchange::Write(std::string piece) {
  response_.body += piece;
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> ForwardedExchange::EndStream() {
  respond_(std::move(response_));
  co_return absl::OkStatus();
}

}  // namespace papaya
