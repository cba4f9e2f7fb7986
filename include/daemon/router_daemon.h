#ifndef INCLUDE_DAEMON_ROUTER_DAEMON_H_
#define INCLUDE_DAEMON_ROUTER_DAEMON_H_

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/settings/router_settings.h"

namespace papaya {

class Logger;

// One router: servers for callers and operators, the threads behind them, and
// the decision cores that they drive.
class RouterDaemon {
 public:
  // Reads the state charts. `logger` must outlive the daemon. Fails with all
  // faults of a chart, by file and line.
  static absl::StatusOr<std::unique_ptr<RouterDaemon>> Create(
      const RouterSettings& settings,
      Logger* logger);

  ~RouterDaemon();

  // Opens the sockets and starts the threads.
  absl::Status Start();

  // Shuts down gracefully: not ready from now on; after a moment for the
  // balancer no new connection; all that waits or is in flight ends first.
  // Returns at once. Any thread.
  void Drain();

  // Waits until a drain is complete and the threads have ended.
  void Wait();

  // True once a configuration is in force and no drain has begun.
  bool IsReady() const;

  // Ports listened on; 0 before Start.
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
