#ifndef SRC_STANDIN_SERVICE_HANDLER_H_
#define SRC_STANDIN_SERVICE_HANDLER_H_

#include "include/base/units.h"
#include "include/standin/service_model.h"
#include "src/standin/standin_handler.h"

namespace papaya {

struct StandinOptions;

// Serves the HTTP requests of a stand-in service.
class ServiceHandler : public StandinHandler {
 public:
  explicit ServiceHandler(const StandinOptions& options);

 private:
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange) override;
  boost::asio::awaitable<void> HandleCall(HttpExchange& exchange);
  std::string LoadJson() const;
  std::string LedgerJson() const;

  const Duration service_time_;
  ServiceModel model_;
  int running_ = 0;
};

}  // namespace papaya

#endif  // SRC_STANDIN_SERVICE_HANDLER_H_
