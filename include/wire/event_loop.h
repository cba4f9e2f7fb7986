#ifndef INCLUDE_WIRE_EVENT_LOOP_H_
#define INCLUDE_WIRE_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>

namespace papaya {

class Logger;

// Runs `context` until it is stopped or has no more work. An exception that
// leaves a handler ends only that handler: it is logged, and the loop goes on,
// so that one request or message can't end the process. `logger` must not be
// null.
void RunEventLoop(boost::asio::io_context* context, Logger* logger);

}  // namespace papaya

#endif  // INCLUDE_WIRE_EVENT_LOOP_H_
