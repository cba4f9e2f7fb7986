#ifndef INCLUDE_GATEWAY_PLATFORM_STORE_H_
#define INCLUDE_GATEWAY_PLATFORM_STORE_H_

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// One object of the platform's store.
struct PlatformObject {
  std::string name;
  // Of its last change.
  ObjectVersion version;
  // What its owner wants.
  boost::json::value spec;
  // What others say of it.
  boost::json::value status;
  // A change that took the object away.
  bool is_deleted = false;
};

// Objects, or changes in their order, up to a version of the whole store.
struct ObjectBatch {
  std::vector<PlatformObject> objects;
  // There are more objects after the last one.
  bool has_more = false;
  ObjectVersion store_version;
};

// A call must be answered within this time, a watch so long after its wait: a
// store is slow at times, and silent connections must be noticed within the
// seconds in which changes have to be in force.
inline constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1500);

// The platform's store as routers use it: kinds of objects that are listed and
// watched. Asynchronous, one thread, callbacks exactly once and never from
// inside the call.
//
// Errors, all with step and peer:
//   kUnavailable        out, cut, or turning this router away
//   kDeadlineExceeded   no answer in time; a write may have taken effect
//   kResourceExhausted  over the platform's rate; a write had no effect
//   kOutOfRange         Watch: the history since that version is gone
//   kAborted            Put: the object was changed meanwhile; no effect
//   kAlreadyExists      Create: an object of that name exists
//   kNotFound           the object does not exist
class PlatformStore {
 public:
  using BatchCallback = std::function<void(absl::StatusOr<ObjectBatch>)>;
  using WriteCallback = std::function<void(absl::StatusOr<PlatformObject>)>;

  virtual ~PlatformStore() = default;

  // Objects of a kind by name, from after `after`; empty begins.
  virtual void List(const std::string& kind,
                    const std::string& after,
                    BatchCallback done) = 0;

  // Changes of a kind after `version`; waits up to `wait` for the first one and
  // gives an empty batch if there is none.
  virtual void Watch(const std::string& kind,
                     ObjectVersion version,
                     Duration wait,
                     BatchCallback done) = 0;

  // Makes an object.
  virtual void Create(const std::string& kind,
                      const PlatformObject& object,
                      WriteCallback done) = 0;

  // Replaces the status of an object that is still at `object.version`.
  virtual void PutStatus(const std::string& kind,
                         const PlatformObject& object,
                         WriteCallback done) = 0;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_PLATFORM_STORE_H_
