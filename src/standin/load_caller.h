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

// Makes the calls of a run as a caller of the product would: goes to the next
// router when one is gone, resumes streams that break, repeats bookings under
// their own key only. One thread.
class LoadCaller {
 public:
  explicit LoadCaller(const LoadOptions& options) : options_(options) {}

  // Makes one call and gives what came of it.
  boost::asio::awaitable<CallResult> Call(PlannedCall call);

 private:
  // One call on its way.
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

  // True if the attempt ended the call, with its end in the result.
  boost::asio::awaitable<bool> TryChat(Progress& progress,
                                       ResponseChecker& check);
  boost::asio::awaitable<bool> TryBooking(Progress& progress);
  boost::asio::awaitable<void> ReadStream(HttpClient& client,
                                          Progress& progress,
                                          ResponseChecker& check);
  boost::asio::awaitable<absl::StatusOr<std::string>> TakeTicket(
      std::string router,
      TimePoint deadline);

  // The end of the call, if an answer with that status is final.
  static bool SetOutcomeFromStatus(const HttpResponse& response,
                                   Progress& progress);
  HttpRequest MakeChatRequest(const Progress& progress,
                              const ResponseChecker& check) const;
  HttpRequest MakeBookingRequest(const Progress& progress) const;
  // The router for this attempt; each one is another than the last.
  const std::string& RouterOf(const Progress& progress) const;

  const LoadOptions& options_;
  std::deque<std::string> tickets_;
};

}  // namespace papaya

#endif  // SRC_STANDIN_LOAD_CALLER_H_
