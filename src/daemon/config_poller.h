#ifndef SRC_DAEMON_CONFIG_POLLER_H_
#define SRC_DAEMON_CONFIG_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "include/config/fleet_config.h"

namespace papaya {

// Reads the fleet configuration from the Object API again and again, and hands
// on each higher revision. Lives on the control thread.
class ConfigPoller {
 public:
  using Hook = std::function<void(std::shared_ptr<const FleetConfig>)>;

  ConfigPoller(boost::asio::io_context& context,
               std::string store_address,
               std::string key,
               Hook on_config);

  void Start();
  void Stop();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<absl::StatusOr<FleetConfig>> Read();

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  std::string store_address_;
  std::string key_;
  Hook on_config_;
  Revision revision_;
  bool stopped_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_CONFIG_POLLER_H_
