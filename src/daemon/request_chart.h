#ifndef SRC_DAEMON_REQUEST_CHART_H_
#define SRC_DAEMON_REQUEST_CHART_H_

#include "include/admission/attempt_result.h"
#include "include/base/outcome.h"

namespace papaya {

// The event of charts/request.chart that corresponds to a rejection.
const char* RejectionEvent(const Rejection& rejection);

// The event of charts/request.chart for a request that an earlier attempt has
// already decided with `outcome`.
const char* OutcomeEvent(Outcome outcome);

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_CHART_H_
