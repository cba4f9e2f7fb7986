#ifndef SRC_GATEWAY_MEMORY_LOG_H_
#define SRC_GATEWAY_MEMORY_LOG_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "include/admission/memory_budget.h"
#include "include/telemetry/logger.h"

namespace papaya {

// Returns a budget that grants room in an event of `context` and logs its
// changes. `context` and `logger` must outlive all connections that are charged
// to the budget.
std::shared_ptr<MemoryBudget> MakeMemoryBudget(boost::asio::io_context& context,
                                               Bytes process_limit,
                                               Logger* logger);

}  // namespace papaya

#endif  // SRC_GATEWAY_MEMORY_LOG_H_
