#ifndef SRC_CONFIG_CONFIG_READER_H_
#define SRC_CONFIG_CONFIG_READER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/config/object_store.h"

namespace papaya {

// Reads the configuration object of the store: watches it while told to, and
// once now and then when asked. One call at a time; after a failure it waits,
// twice as long each time up to a bound, with jitter.
class ConfigReader {
 public:
  struct Hooks {
    // The store gave a configuration that passed all checks.
    std::function<void(std::shared_ptr<const FleetConfig>)> read;
    // A call failed, or what it gave has faults.
    std::function<void(const absl::Status&)> failed;
  };

  ConfigReader(std::string key, ObjectStore* store, Hooks hooks, Random random);

  // Watches from now on, or lets the watch that waits be the last one.
  void SetWatching(bool is_watching) { is_watching_ = is_watching; }
  bool is_watching() const { return is_watching_; }

  // Asks for one read, made when no call waits and the budget of single reads
  // allows.
  void RequestRead() { is_read_wanted_ = true; }

  // Starts what is due.
  void OnTick(TimePoint now);

 private:
  void StartGet();
  void StartWatch();
  void OnAnswer(bool is_watch, const absl::StatusOr<StoredObject>& answer);
  void OnObject(const StoredObject& object);
  void OnFailure(const absl::Status& status);

  const std::string key_;
  ObjectStore* const store_;
  const Hooks hooks_;
  Random random_;
  TimePoint now_;
  bool is_watching_ = false;
  bool is_read_wanted_ = false;
  bool is_waiting_ = false;
  // Version of the object last read; 0 if none was.
  ObjectVersion seen_;
  bool has_read_ = false;
  int failures_ = 0;
  TimePoint not_before_;
  TimePoint next_single_read_;
  // Answers that come after the end of this object find it gone.
  std::shared_ptr<ConfigReader*> self_;
};

}  // namespace papaya

#endif  // SRC_CONFIG_CONFIG_READER_H_
