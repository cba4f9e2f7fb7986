#ifndef INCLUDE_GATEWAY_PLATFORM_STORE_H_
#define INCLUDE_GATEWAY_PLATFORM_STORE_H_

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

// An object in the platform's store.
struct PlatformObject {
  std::string name;
  // The version of the last change, with the era of the store (store_era.h).
  ObjectVersion version;
  // The desired state, written by the owner.
  boost::json::value spec;
  // The observed state, written by others.
  boost::json::value status;
  // This is the change that deleted the object.
  bool is_deleted = false;
};

// A page of listed objects, or changes in the order in which they were made.
struct ObjectBatch {
  std::vector<PlatformObject> objects;
  // Objects without a readable name, which are left out.
  int unreadable = 0;
  // There are more pages after the last object.
  bool has_more = false;
  ObjectVersion store_version;
};

// Timeout of a call, and of a watch beyond its wait. Long enough for a store
// that is slow at times. ObjectWatcher notices a silent connection sooner.
inline constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1500);

// Client interface of the platform's store, whose objects are listed and
// watched by kind. Asynchronous and single-threaded. Each callback runs exactly
// once and never from inside the call that it was passed to.
//
// Errors, all with step and peer:
//   kUnavailable        unreachable, connection lost, request rejected, or an
//                       answer of an earlier era that was late
//   kDeadlineExceeded   no response in time; a write may have taken effect
//   kResourceExhausted  over the platform's rate limit; a write had no effect
//   kOutOfRange         Watch: the store has no history since that version, or
//                       has come back from an older copy since
//   kAborted            PutStatus: the object has another version, or the store
//                       has come back from an older copy since; no effect
//   kAlreadyExists      Create: an object of that name exists
//   kNotFound           the object does not exist
class PlatformStore {
 public:
  using BatchCallback = std::function<void(absl::StatusOr<ObjectBatch>)>;
  using WriteCallback = std::function<void(absl::StatusOr<PlatformObject>)>;

  virtual ~PlatformStore() = default;

  // Lists a page of objects of a kind, ordered by name, starting after the name
  // `after`. An empty `after` starts at the first object.
  virtual void List(const std::string& kind,
                    const std::string& after,
                    BatchCallback done) = 0;

  // Like List, but the objects may be as they were some seconds ago, at
  // `store_version`. The platform charges a tenth of a call for it. Pages of
  // one list may have different versions.
  virtual void ListStale(const std::string& kind,
                         const std::string& after,
                         BatchCallback done) {
    List(kind, after, std::move(done));
  }

  // Returns the changes of a kind after `version`. Waits up to `wait` for the
  // first one; the batch is empty if there is none.
  virtual void Watch(const std::string& kind,
                     ObjectVersion version,
                     Duration wait,
                     BatchCallback done) = 0;

  // Gets the events of the store's era (StoreEraTracker).
  virtual void SetEventHook(const EventHook& /*event*/) {}

  // Connections that are open now may have gone silent: calls that start from
  // now on use new ones.
  virtual void Reconnect() {}

  virtual void Create(const std::string& kind,
                      const PlatformObject& object,
                      WriteCallback done) = 0;

  // Replaces the status of an object if its version is still `object.version`.
  virtual void PutStatus(const std::string& kind,
                         const PlatformObject& object,
                         WriteCallback done) = 0;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_PLATFORM_STORE_H_
