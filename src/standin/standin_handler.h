#ifndef SRC_STANDIN_STANDIN_HANDLER_H_
#define SRC_STANDIN_STANDIN_HANDLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "include/base/random.h"
#include "include/base/units.h"
#include "include/standin/standin_faults.h"
#include "include/wire/http_message.h"

namespace papaya {

class HttpExchange;

// The injected fault of one request.
enum class FaultChoice : uint8_t { kNone, kFail, kHang, kCut };

// Base class of the HTTP handlers of stand-ins. Passes requests to the model of
// the stand-in and injects the current faults. Must be used on one thread.
class StandinHandler {
 public:
  StandinHandler(const StandinFaults& faults, uint64_t seed)
      : faults_(faults), random_(seed) {}
  virtual ~StandinHandler() = default;
  StandinHandler(const StandinHandler&) = delete;
  StandinHandler& operator=(const StandinHandler&) = delete;

  // Handles one request. Returning without a response closes the connection.
  // `/faults` works the same for all roles and is not affected by faults.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 protected:
  // Handles a request outside an outage.
  virtual boost::asio::awaitable<void> HandleRequest(
      HttpExchange& exchange) = 0;

  // Handles a request during an outage. By default it sends no response, which
  // closes the connection.
  virtual boost::asio::awaitable<void> HandleOutage(HttpExchange& exchange);

  // Called after the faults changed.
  virtual void OnFaultsChanged() {}

  // Draws the fault of one request according to the shares of the faults.
  FaultChoice ChooseFault();

  const StandinFaults& faults() const { return faults_; }
  Random& random() { return random_; }

 private:
  boost::asio::awaitable<void> HandleFaults(HttpExchange& exchange);

  StandinFaults faults_;
  Random random_;
};

// Suspends the coroutine for `duration`.
boost::asio::awaitable<void> SleepFor(Duration duration);

// Waits until the caller closes the connection.
boost::asio::awaitable<void> WaitForDisconnect(HttpExchange& exchange);

// Sends `response`. Errors are ignored: a caller that disconnected does not
// need the response.
boost::asio::awaitable<void> SendResponse(HttpExchange& exchange,
                                          HttpResponse response);

// Returns a response with `message` as its error.
HttpResponse ErrorResponse(int status, const std::string& message);

}  // namespace papaya

#endif  // SRC_STANDIN_STANDIN_HANDLER_H_
