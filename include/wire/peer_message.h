#ifndef INCLUDE_WIRE_PEER_MESSAGE_H_
#define INCLUDE_WIRE_PEER_MESSAGE_H_

#include <variant>

#include "include/admission/crash_messages.h"
#include "include/admission/demand_notice.h"
#include "include/admission/usage_messages.h"
#include "include/config/config_messages.h"
#include "include/membership/member_messages.h"
#include "include/once/claim_messages.h"
#include "include/rollout/move_approval.h"
#include "include/rollout/version_stats.h"
#include "include/wire/feed_messages.h"
#include "include/wire/forward_messages.h"

namespace papaya {

// Every message from one router to another, once both have proven that they
// know the fleet secret.
using PeerMessage = std::variant<MemberMessage,
                                 ConfigMessage,
                                 StatsReport,
                                 DemandNotice,
                                 ClaimQuery,
                                 ClaimReply,
                                 ForwardRequest,
                                 ForwardReply,
                                 UsageReport,
                                 UsageTotals,
                                 FeedRequest,
                                 FeedUpdate,
                                 CrashNews,
                                 MoveApproval>;

}  // namespace papaya

#endif  // INCLUDE_WIRE_PEER_MESSAGE_H_
