#ifndef SRC_STANDIN_LOAD_CALLER_H_
#define SRC_STANDIN_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <string>

#include "absl/status/statusor.h"
#include "include/standin/load_plan.h"
#include "include/standin/load_tally.h"
#include "include/standin/response_checker.h"
#include "include/wire/http_client.h"

namespace papaya {

// Makes the calls of a run in the way of a real caller: each retry goes to the
// next router, interrupted streams are resumed, and bookings are retried only
// with their own key or ticket. Must be used on one thread.
class LoadCaller {
 public:
  explicit LoadCaller(const LoadOptions& options) : options_(options) {}

  // Makes one call, with retries, and returns its result.
  boost::asio::awaitable<CallResult> Call(PlannedCall call);

 private:
  // The state of one call in flight.
  struct Progress {
    PlannedCall call;
    TimePoint sent;
    TimePoint deadline;
    int attempt = 0;
    std::string stream_id;
    std::string ticket;
    TimePoint last_token;
    CallResult result;
  };

  // Make one attempt and set the outcome in `progress.result`. Return true if
  // the outcome is final, false to retry.
  boost::asio::awaitable<bool> TryChat(Progress& progress,
                                       ResponseChecker& check);
  boost::asio::awaitable<bool> TryBooking(Progress& progress);
  boost::asio::awaitable<void> ReadStream(HttpClient& client,
                                          Progress& progress,
                                          ResponseChecker& check);
  boost::asio::awaitable<absl::StatusOr<std::string>> TakeTicket(
      std::string router,
      TimePoint deadline);

  // Sets the outcome from an error response. Returns true if it is final.
  static bool SetOutcomeFromStatus(const HttpResponse& response,
                                   Progress& progress);
  HttpRequest MakeChatRequest(const Progress& progress,
                              const ResponseChecker& check) const;
  HttpRequest MakeBookingRequest(const Progress& progress) const;
  // Returns the router for the current attempt, which is the one after the
  // router of the previous attempt.
  const std::string& RouterOf(const Progress& progress) const;

  const LoadOptions& options_;
  std::deque<std::string> tickets_;
};

}  // namespace papaya

#endif  // SRC_STANDIN_LOAD_CALLER_H_
