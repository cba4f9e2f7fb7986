#include "src/daemon/forwarded_exchange.h"

#include <utility>

namespace papaya {

namespace asio = boost::asio;

ForwardedExchange::ForwardedExchange(const asio::any_io_executor& executor,
                                     HttpRequest request,
                                     Answered answered)
    : executor_(executor),
      request_(std::move(request)),
      answered_(std::move(answered)) {}

asio::awaitable<absl::Status> ForwardedExchange::Respond(
    HttpResponse response) {
  answered_(std::move(response));
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
  answered_(std::move(response_));
  co_return absl::OkStatus();
}

}  // namespace papaya
