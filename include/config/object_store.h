#ifndef INCLUDE_CONFIG_OBJECT_STORE_H_
#define INCLUDE_CONFIG_OBJECT_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"

namespace papaya {

// One object of the platform's Object API.
struct StoredObject {
  std::string key;
  // Grows with each write to the key; never 0.
  ObjectVersion version;
  // The operation that wrote this version, for reading back a lost answer.
  OperationId operation;
  std::string value;

  bool operator==(const StoredObject&) const = default;
};

// A write that takes effect only if the object is still as the writer saw it.
struct ConditionalWrite {
  std::string key;
  // The version that must be there now; 0 if the key must be absent.
  ObjectVersion expected;
  OperationId operation;
  // Empty removes the object.
  std::optional<std::string> value;
};

// The platform's Object API as the decision core sees it: asynchronous, each
// call counted by the platform, down at times for hours. Callbacks come on the
// control thread, never from inside the call, and exactly once.
//
// Errors, all with step and peer:
//   kUnavailable        out or cut; a write may have taken effect
//   kDeadlineExceeded   no answer in time; a write may have taken effect
//   kResourceExhausted  over the platform's rate, or over our own budget; the
//                       write did not take effect
//   kAborted            the version was not the expected one; no effect
//   kNotFound           Get of an absent key
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  using GetCallback = std::function<void(absl::StatusOr<StoredObject>)>;
  using PutCallback = std::function<void(absl::StatusOr<ObjectVersion>)>;
  using ListCallback =
      std::function<void(absl::StatusOr<std::vector<StoredObject>>)>;

  virtual void Get(const std::string& key, GetCallback done) = 0;

  virtual void Put(const ConditionalWrite& write, PutCallback done) = 0;

  // All objects whose keys start with `prefix`, by key.
  virtual void List(const std::string& prefix, ListCallback done) = 0;

  // Waits until the object has a version above `after`, and gives it. Gives
  // kDeadlineExceeded if nothing changed for the platform's longest wait; the
  // caller then asks again.
  virtual void Watch(const std::string& key,
                     ObjectVersion after,
                     GetCallback done) = 0;
};

// True if a write that ended with `status` may have taken effect.
bool MayHaveTakenEffect(const absl::Status& status);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_OBJECT_STORE_H_
