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

// What a fault makes of one request.
enum class FaultChoice : uint8_t { kNone, kFail, kHang, kCut };

// The HTTP side of one stand-in: puts requests into its model and the faults
// that are switched on before its answers. One thread.
class StandinHandler {
 public:
  StandinHandler(const StandinFaults& faults, uint64_t seed)
      : faults_(faults), random_(seed) {}
  virtual ~StandinHandler() = default;
  StandinHandler(const StandinHandler&) = delete;
  StandinHandler& operator=(const StandinHandler&) = delete;

  // Answers one request, or leaves it unanswered, which cuts the connection.
  // `/faults` is the same for all roles, and no fault touches it.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 protected:
  // A request that no outage keeps away.
  virtual boost::asio::awaitable<void> HandleRequest(
      HttpExchange& exchange) = 0;

  // The answer to every request during an outage.
  virtual boost::asio::awaitable<void> HandleOutage(HttpExchange& exchange);

  // Called after the faults were changed.
  virtual void OnFaultsChanged() {}

  FaultChoice ChooseFault();

  const StandinFaults& faults() const { return faults_; }
  Random& random() { return random_; }

 private:
  boost::asio::awaitable<void> HandleFaults(HttpExchange& exchange);

  StandinFaults faults_;
  Random random_;
};

// Waits for `duration`.
boost::asio::awaitable<void> SleepFor(Duration duration);

// Waits until the caller has closed the connection.
boost::asio::awaitable<void> WaitForDisconnect(HttpExchange& exchange);

// Sends `response`. A caller that is gone by then makes no difference.
boost::asio::awaitable<void> SendResponse(HttpExchange& exchange,
                                          HttpResponse response);

// An answer that says what was wrong.
HttpResponse ErrorResponse(int status, const std::string& message);

}  // namespace papaya

#endif  // SRC_STANDIN_STANDIN_HANDLER_H_
