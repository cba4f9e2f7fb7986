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

// Reads and writes the configuration object for the holder of the note lease.
// Each revision is one more than the one it replaces, and its write is
// conditional on the object version of that one, so revisions only grow.
class ConfigPublisher {
 public:
  using PublishHook = std::function<void(const FleetConfig&, ObjectVersion)>;

  ConfigPublisher(ObjectStore* store,
                  const std::string& prefix,
                  const std::string& owner,
                  PublishHook on_publish);
  ~ConfigPublisher();

  // Discards the configuration that was read; called at the start of a term as
  // holder.
  void Forget();

  // Starts a read of the object if the configuration is not known.
  void OnTick(TimePoint now);

  // Returns true if config() is the last configuration known to be in the store
  // and no call is in flight.
  bool IsKnown() const;

  // The last configuration read or written; revision 0 without upstreams if the
  // store has none.
  const FleetConfig& config() const;

  // Returns true if the store holds `wanted`, apart from revision and note.
  // Otherwise starts to write it if the configuration is known and no call is
  // in flight, and returns false.
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
