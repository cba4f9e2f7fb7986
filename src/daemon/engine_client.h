#ifndef SRC_DAEMON_ENGINE_CLIENT_H_
#define SRC_DAEMON_ENGINE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "include/config/fleet_config.h"
#include "include/rollout/note_runner.h"

namespace papaya {

// Carries orders to model engines and reads their states, over HTTP. Lives on
// the control thread.
class EngineClient {
 public:
  explicit EngineClient(boost::asio::io_context& context) : context_(context) {}

  // Sends `order` to the engine at `address`; the contract of
  // NoteRunnerHooks::order. Its bytes are not written once `send_before` is
  // past.
  void Order(const EngineOrder& order,
             const std::string& address,
             NoteRunnerHooks::OrderDone done);

  // Reads the state of the engine at `address` within `timeout`.
  void ReadState(const std::string& address,
                 Duration timeout,
                 NoteRunnerHooks::StateDone done);

 private:
  boost::asio::io_context& context_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ENGINE_CLIENT_H_
