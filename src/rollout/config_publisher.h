#ifndef SRC_ROLLOUT_CONFIG_PUBLISHER_H_
#define SRC_ROLLOUT_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/config/object_store.h"

namespace papaya {

// The configuration object, read and written by the holder of the lease.
// Revisions only grow: each is one more than the one it replaces, written on
// condition that that one still stands.
class ConfigPublisher {
 public:
  using PublishHook = std::function<void(const FleetConfig&, ObjectVersion)>;

  ConfigPublisher(ObjectStore* store,
                  const std::string& prefix,
                  const std::string& owner,
                  PublishHook on_publish);
  ~ConfigPublisher();

  // Forgets what was read, as at the start of a term.
  void Forget();

  // Reads the object if that is needed.
  void OnTick(TimePoint now);

  // True if config() is what the store holds as far as anybody can know.
  bool IsKnown() const;

  // Revision 0 without upstreams on an empty fleet.
  const FleetConfig& config() const;

  // True if `wanted` is what the store holds, but for revision and note.
  // Otherwise starts writing it, unless another write is under way.
  bool Publish(const FleetConfig& wanted);

 private:
  struct State;

  const std::string key_;
  const std::string owner_;
  ObjectStore* const store_;
  const PublishHook on_publish_;
  std::shared_ptr<State> state_;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_CONFIG_PUBLISHER_H_
