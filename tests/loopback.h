#ifndef TESTS_LOOPBACK_H_
#define TESTS_LOOPBACK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "include/wire/steady_time.h"

namespace papaya {

// Deadline for loopback operations of a test, 20 s from now.
inline TimePoint TestDeadline() {
  return SteadyNow() + std::chrono::seconds(20);
}

// Runs `body` on `context` until it completes; rethrows its exception.
inline void RunOn(boost::asio::io_context& context,
                  std::function<boost::asio::awaitable<void>()> body) {
  std::exception_ptr thrown;
  bool ended = false;
  boost::asio::co_spawn(context, std::move(body),
                        [&thrown, &ended](std::exception_ptr error) {
                          thrown = std::move(error);
                          ended = true;
                        });
  context.restart();
  while (!ended) {
    context.run_one();
  }
  if (thrown != nullptr) {
    std::rethrow_exception(thrown);
  }
}

inline std::string LoopbackAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace papaya

#endif  // TESTS_LOOPBACK_H_
