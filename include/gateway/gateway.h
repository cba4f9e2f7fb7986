#ifndef INCLUDE_GATEWAY_GATEWAY_H_
#define INCLUDE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/platform_binding.h"

namespace papaya {

class Logger;

// A router for a platform with its own object store, manifest format and wire
// headers, which a PlatformBinding adapts. Accepts requests for any HTTP
// service, schedules them over the registered upstreams and relays the
// responses. Runs on the single thread of one io_context because the platform's
// VMs have one core.
class Gateway {
 public:
  // `context` and `logger` must outlive the gateway.
  Gateway(boost::asio::io_context& context,
          const GatewaySettings& settings,
          PlatformBinding binding,
          Logger* logger);
  ~Gateway();

  // Opens the listening sockets and starts the periodic work. Returns the error
  // of the first socket that can't be opened.
  absl::Status Start();

  // Starts a graceful shutdown: readiness probes fail from now on and requests
  // in flight are finished. Calls `ended` once there are none left, or when the
  // grace period is nearly over. Later calls do nothing.
  void Drain(std::function<void()> ended);

  // Replaces the bounds after a change of the settings.
  void SetBounds(const GatewayBounds& bounds);
  // Replaces the peer addresses to contact first after a change of the
  // settings.
  void SetSeeds(const std::vector<std::string>& seeds);

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_H_
