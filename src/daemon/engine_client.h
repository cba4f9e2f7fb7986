#ifndef SRC_DAEMON_ENGINE_CLIENT_H_
#define SRC_DAEMON_ENGINE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "include/config/fleet_config.h"
#include "include/rollout/note_runner.h"

namespace papaya {

// Sends orders to model engines and reads their states over HTTP. Runs on the
// control thread.
class EngineClient {
 public:
  explicit EngineClient(boost::asio::io_context& context) : context_(context) {}

  // Sends `order` to the engine at `address` and calls `done` as specified for
  // NoteRunnerHooks::order. Writes no bytes of the order after
  // `order.send_before`.
  void Order(const EngineOrder& order,
             const std::string& address,
             NoteRunnerHooks::OrderDone done);

  // Reads the state of the engine at `address`; fails after `timeout`.
  void ReadState(const std::string& address,
                 Duration timeout,
                 NoteRunnerHooks::StateDone done);

 private:
  boost::asio::io_context& context_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ENGINE_CLIENT_H_
