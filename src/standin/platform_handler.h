#ifndef SRC_STANDIN_PLATFORM_HANDLER_H_
#define SRC_STANDIN_PLATFORM_HANDLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "include/standin/platform_model.h"
#include "src/standin/standin_handler.h"

namespace papaya {

struct StandinOptions;

// Serves the Object API and the VM list of the stand-in platform over HTTP.
// Requests chosen to fail get status 503. Requests chosen to fail, hang or be
// cut have no effect; writes whose response is lost do take effect.
class PlatformHandler : public StandinHandler {
 public:
  PlatformHandler(const boost::asio::any_io_executor& executor,
                  const StandinOptions& options);

 private:
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange) override;
  boost::asio::awaitable<void> HandleOutage(HttpExchange& exchange) override;

  boost::asio::awaitable<void> HandleObjects(HttpExchange& exchange,
                                             std::string path);
  boost::asio::awaitable<void> HandleWatch(HttpExchange& exchange,
                                           std::string key);
  boost::asio::awaitable<void> HandleWrite(HttpExchange& exchange,
                                           std::string key);
  HttpResponse List(const std::string& target);
  HttpResponse Get(const std::string& key);
  HttpResponse ListVms();
  HttpResponse ChangeVm(const std::string& body);
  HttpResponse Counts() const;

  void ScheduleAdvance();

  PlatformModel model_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer due_timer_;
};

}  // namespace papaya

#endif  // SRC_STANDIN_PLATFORM_HANDLER_H_
