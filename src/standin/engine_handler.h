#ifndef SRC_STANDIN_ENGINE_HANDLER_H_
#define SRC_STANDIN_ENGINE_HANDLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "include/standin/engine_model.h"
#include "src/standin/standin_handler.h"

namespace papaya {

struct StandinOptions;

// The fields of a chat request that the engine uses.
struct ChatRequest {
  std::string model;
  // The contents of all messages, separated by line feeds.
  std::string prompt;
  Tokens max_tokens{16};
  bool stream = false;
};

// Serves the HTTP requests of a stand-in engine.
class EngineHandler : public StandinHandler {
 public:
  EngineHandler(const boost::asio::any_io_executor& executor,
                const StandinOptions& options);

 private:
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange) override;
  void OnFaultsChanged() override;

  boost::asio::awaitable<void> HandleChat(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleResume(HttpExchange& exchange,
                                            std::string stream_id);
  boost::asio::awaitable<void> HandleCancel(HttpExchange& exchange,
                                            const std::string& stream_id);
  boost::asio::awaitable<void> HandleOrder(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleVersionFault(HttpExchange& exchange);

  boost::asio::awaitable<void> SendWholeResponse(HttpExchange& exchange,
                                                 std::string stream_id,
                                                 std::string model);
  // Streams the tokens from `offset` on. If `cut` is set, closes the connection
  // after half of the maximum number of tokens.
  boost::asio::awaitable<void> SendStream(HttpExchange& exchange,
                                          std::string stream_id,
                                          Tokens offset,
                                          bool cut);

  // Waits until the stream has more than `produced` tokens or has ended and
  // returns it, or null if it was removed.
  boost::asio::awaitable<const EngineStream*> WaitForProgress(
      std::string stream_id,
      Tokens produced);

  void ScheduleStep();
  void OnStep();

  std::string LoadJson();
  std::string StateJson();
  std::string CacheEventsJson(uint64_t after);

  EngineModel model_;
  boost::asio::steady_timer step_timer_;
  // Never expires. It is cancelled after each step, so that all waiting
  // coroutines check their stream again.
  boost::asio::steady_timer progress_;
  uint64_t next_local_stream_ = 0;
};

}  // namespace papaya

#endif  // SRC_STANDIN_ENGINE_HANDLER_H_
