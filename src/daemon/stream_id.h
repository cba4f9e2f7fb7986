#ifndef SRC_DAEMON_STREAM_ID_H_
#define SRC_DAEMON_STREAM_ID_H_

#include <optional>
#include <string>

#include "include/base/ids.h"

namespace papaya {

// The id of a stream, as callers hold it: names the upstream that has the
// stream and the request, and carries a code that ties it to the client
// account. Any router with the fleet secret can read it.
//
//   <upstream>~<request>~<code>
std::string MakeStreamId(const UpstreamId& upstream,
                         const std::string& request,
                         const AccountId& account,
                         const std::string& fleet_secret);

// The upstream that a stream id names; empty if the id was not made for that
// account with that secret.
std::optional<UpstreamId> UpstreamOfStream(const std::string& stream_id,
                                           const AccountId& account,
                                           const std::string& fleet_secret);

}  // namespace papaya

#endif  // SRC_DAEMON_STREAM_ID_H_
