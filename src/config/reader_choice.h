#ifndef SRC_CONFIG_READER_CHOICE_H_
#define SRC_CONFIG_READER_CHOICE_H_

#include <cstddef>

namespace papaya {

struct FleetView;

// True if the view's own router is among the `readers_per_zone` routers of its
// availability zone that read the configuration from the store. Draining ones
// do not.
bool IsPickedReader(const FleetView& view, size_t readers_per_zone);

}  // namespace papaya

#endif  // SRC_CONFIG_READER_CHOICE_H_
