#ifndef SRC_STANDIN_ENGINE_HANDLER_H_
#define SRC_STANDIN_ENGINE_HANDLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "include/standin/engine_model.h"
#include "src/standin/standin_handler.h"

namespace papaya {

struct StandinOptions;

// A chat request's parts that the engine heeds.
struct ChatRequest {
  std::string model;
  // The contents of all messages, with line feeds between them.
  std::string prompt;
  Tokens max_tokens{16};
  bool stream = false;
};

// A model engine behind HTTP.
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
  // Sends the tokens from `offset` on; cuts the connection once half of them
  // are out if `cut`.
  boost::asio::awaitable<void> SendStream(HttpExchange& exchange,
                                          std::string stream_id,
                                          Tokens offset,
                                          bool cut);

  // Waits until the stream has more than `produced` tokens or is over, and
  // gives it; null if it is forgotten.
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
  // Never expires; cancelled at each step, so that all who wait look again.
  boost::asio::steady_timer progress_;
  uint64_t next_local_stream_ = 0;
};

}  // namespace papaya

#endif  // SRC_STANDIN_ENGINE_HANDLER_H_
