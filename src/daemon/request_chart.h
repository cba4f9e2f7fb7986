#ifndef SRC_DAEMON_REQUEST_CHART_H_
#define SRC_DAEMON_REQUEST_CHART_H_

#include "include/admission/attempt_result.h"
#include "include/base/outcome.h"

namespace papaya {

// The event of charts/request.chart that a refusal stands for.
const char* RejectionEvent(const Rejection& rejection);

// The event of charts/request.chart for an outcome that an earlier attempt had.
const char* OutcomeEvent(Outcome outcome);

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_CHART_H_
