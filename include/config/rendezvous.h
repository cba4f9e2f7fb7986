#ifndef INCLUDE_CONFIG_RENDEZVOUS_H_
#define INCLUDE_CONFIG_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"

namespace papaya {

// The weight of `router` for `purpose`. All routers work out the same; those
// with the highest weights take the purpose on, without an election.
uint64_t RendezvousWeight(const std::string& purpose, const RouterId& router);

// The `count` routers of the highest weight for `purpose`, highest first; all
// of them if there are fewer.
std::vector<RouterId> PickByRendezvous(const std::string& purpose,
                                       std::vector<RouterId> candidates,
                                       size_t count);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_RENDEZVOUS_H_
