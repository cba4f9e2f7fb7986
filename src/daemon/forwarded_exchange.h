#ifndef SRC_DAEMON_FORWARDED_EXCHANGE_H_
#define SRC_DAEMON_FORWARDED_EXCHANGE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>

#include "include/wire/http_exchange.h"

namespace papaya {

// An HttpExchange for a request that another router forwarded. A streamed
// response is buffered and returned as a whole.
class ForwardedExchange : public HttpExchange {
 public:
  using ResponseHook = std::function<void(HttpResponse)>;

  // `respond` is called once, on `executor`, with the complete response.
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

  // The router that forwarded the request watches the caller's connection.
  void OnCallerGone(std::function<void()>) override {}

 private:
  boost::asio::any_io_executor executor_;
  HttpRequest request_;
  ResponseHook respond_;
  HttpResponse response_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FORWARDED_EXCHANGE_H_
