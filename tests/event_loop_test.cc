#include "include/wire/event_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <stdexcept>

#include "include/telemetry/logger.h"

namespace papaya {
namespace {

TEST_CASE("RunEventLoop: an exception ends only its handler", "[wire]") {
  boost::asio::io_context context(1);
  std::ostringstream log;
  Logger logger(log, Severity::kInfo);
  int handled = 0;
  for (int i = 0; i < 3; ++i) {
    boost::asio::post(context, [] { throw std::runtime_error("odd input"); });
    boost::asio::post(context, [&handled] { ++handled; });
  }
  RunEventLoop(&context, &logger);
  CHECK(handled == 3);
  CHECK(log.str().find("unexpected_error") != std::string::npos);
  CHECK(log.str().find("odd input") != std::string::npos);
}

}  // namespace
}  // namespace papaya
