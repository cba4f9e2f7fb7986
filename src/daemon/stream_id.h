#ifndef SRC_DAEMON_STREAM_ID_H_
#define SRC_DAEMON_STREAM_ID_H_

#include <optional>
#include <string>

#include "include/base/ids.h"

namespace papaya {

// Makes the stream id that is returned to callers. It names the upstream that
// serves the stream and the request, and ends with a message authentication
// code that binds it to the client account. Any router with the fleet secret
// can verify it.
//
//   <upstream>~<request>~<code>
std::string MakeStreamId(const UpstreamId& upstream,
                         const std::string& request,
                         const AccountId& account,
                         const std::string& fleet_secret);

// Returns the upstream named by a stream id; empty if the id was not made for
// `account` with `fleet_secret`.
std::optional<UpstreamId> UpstreamOfStream(const std::string& stream_id,
                                           const AccountId& account,
                                           const std::string& fleet_secret);

}  // namespace papaya

#endif  // SRC_DAEMON_STREAM_ID_H_
