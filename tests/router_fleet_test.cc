#include <boost/asio/awaitable.hpp>
#include <catch2/catch.hpp>

#include "include/daemon/router_daemon.h"
#include "tests/router_harness.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> Confirm(HttpExchange& exchange) {
  HttpResponse response;
  response.body = "confirmed";
  (co_await exchange.Respond(std::move(response))).IgnoreError();
}

TEST_CASE(
    "RouterDaemon: three routers share a configuration that only one can "
    "read, and a ticket of one runs once through any of them",
    "[daemon][threads]") {
  FakeUpstream service(RouterHarness::context(), &Confirm);
  RouterHarness fleet({RouterHarness::Service("b1", service)});
  RouterDaemon& second = fleet.AddRouter("router-2");
  RouterDaemon& third = fleet.AddRouter("router-3");
  fleet.Run([&]() -> asio::awaitable<void> {
    const std::string ticket = co_await fleet.IssueTicket(second);
    HttpRequest booking = RouterHarness::Booking("");
    booking.headers.Remove("Idempotency-Key");
    booking.headers.Set("papaya-ticket", ticket);
    const HttpResponse first = co_await fleet.Fetch(third, booking);
    INFO(first.body);
    CHECK(first.status == 200);
    CHECK(first.headers.Get("papaya-outcome") == "ran");
    const HttpResponse again = co_await fleet.Fetch(second, booking);
    CHECK(again.headers.Get("papaya-outcome") == "ran");
    int bookings = 0;
    for (const HttpRequest& received : service.received()) {
      bookings += received.target == "/hires" ? 1 : 0;
    }
    CHECK(bookings == 1);
  });
}

}  // namespace
}  // namespace papaya
