#ifndef INCLUDE_DAEMON_ROUTER_DAEMON_H_
#define INCLUDE_DAEMON_ROUTER_DAEMON_H_

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/settings/router_settings.h"

namespace papaya {

class Logger;

// A router process: the HTTP servers for callers and operators, the network to
// other routers, the traffic and control threads, and the scheduling,
// membership, configuration and release note logic that runs on them.
class RouterDaemon {
 public:
  // Loads the state charts from `settings.chart_directory`. `logger` must
  // outlive the daemon. If a chart is invalid, fails with all of its errors,
  // each with file and line.
  static absl::StatusOr<std::unique_ptr<RouterDaemon>> Create(
      const RouterSettings& settings,
      Logger* logger);

  ~RouterDaemon();

  // Opens the listening sockets and starts the threads.
  absl::Status Start();

  // Starts a graceful shutdown and returns at once. The router stops reporting
  // itself as ready, keeps accepting connections for a short grace period so
  // that the load balancer can react, and then finishes all queued and running
  // requests. May be called on any thread.
  void Drain();

  // Blocks until a drain has completed and the threads have ended.
  void Wait();

  // True if a configuration is in force and no drain has begun.
  bool IsReady() const;

  // Listening ports; 0 before Start.
  uint16_t caller_port() const;
  uint16_t operator_port() const;
  uint16_t peer_port() const;

 private:
  class Impl;

  explicit RouterDaemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_DAEMON_ROUTER_DAEMON_H_
