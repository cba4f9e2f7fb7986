#ifndef SRC_DAEMON_FORWARDED_EXCHANGE_H_
#define SRC_DAEMON_FORWARDED_EXCHANGE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>

#include "include/wire/http_exchange.h"

namespace papaya {

// A request that another router handed over, as it would have come from its
// caller. A streamed answer is collected and goes back whole.
class ForwardedExchange : public HttpExchange {
 public:
  using ResponseHook = std::function<void(HttpResponse)>;

  // `answered` is called once the answer is whole, on `executor`.
  ForwardedExchange(const boost::asio::any_io_executor& executor,
                    HttpRequest request,
                    ResponseHook respond);

  const HttpRequest& request() const override { return request_; }
  HttpRequest TakeRequest() override { return std::move(request_); }
  boost::asio::any_io_executor executor() const override { return executor_; }
  boost::asio::awaitable<absl::Status> Respond(HttpResponse response) override;
  boost::asio::awaitable<absl::Status> StartStream(HttpResponse head) override;
  boost::asio::awaitable<absl::Status> Write(std::string piece) override;
  boost::asio::awaitable<absl::Status> EndStream() override;

  // The caller is the other router's to watch.
  void OnCallerGone(std::function<void()>) override {}

 private:
  boost::asio::any_io_executor executor_;
  HttpRequest request_;
  ResponseHook respond_;
  HttpResponse response_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FORWARDED_EXCHANGE_H_
