#ifndef INCLUDE_GATEWAY_GATEWAY_H_
#define INCLUDE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/platform_binding.h"

namespace papaya {

class Logger;

// One router on a platform that brings its own store, manifests and wire
// format: takes requests of any HTTP service, schedules them over the upstreams
// that registered, and passes the answers on. Everything runs on the thread of
// one io_context, as its VMs have one core.
class Gateway {
 public:
  // `context` and `logger` must outlive this.
  Gateway(boost::asio::io_context& context,
          const GatewaySettings& settings,
          PlatformBinding binding,
          Logger* logger);
  ~Gateway();

  // Opens the sockets and begins.
  absl::Status Start();

  // Shuts down gracefully: not ready from now on, every request ends first.
  // Then `ended` is called.
  void Drain(std::function<void()> ended);

  // Bounds from changed settings are in force from now on.
  void SetBounds(const GatewayBounds& bounds);

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_H_
