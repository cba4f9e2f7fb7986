#include "include/wire/event_loop.h"

#include <exception>

#include "include/telemetry/event.h"
#include "include/telemetry/logger.h"

namespace papaya {

void RunEventLoop(boost::asio::io_context* context, Logger* logger) {
  while (true) {
    try {
      context->run();
      return;
    } catch (const std::exception& error) {
      logger->Log({EventId::kUnexpectedError, {{"error", error.what()}}});
    }
  }
}

}  // namespace papaya
