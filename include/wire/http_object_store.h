#ifndef INCLUDE_WIRE_HTTP_OBJECT_STORE_H_
#define INCLUDE_WIRE_HTTP_OBJECT_STORE_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/object_store.h"

namespace papaya {

// One VM of the platform's list, which lags.
struct PlatformVm {
  VmId id;
  bool leaving = false;

  bool operator==(const PlatformVm&) const = default;
};

// How many calls of one kind may be made: `per_second` in the long run, and
// `burst` at once.
struct CallBudget {
  double per_second;
  double burst;
};

struct HttpObjectStoreOptions {
  // IP:PORT of the platform.
  std::string address;
  // A call other than a watch must be answered within this time.
  Duration call_timeout = std::chrono::seconds(2);
  // A watch must be answered within this time, which is to be longer than the
  // platform's longest wait.
  Duration watch_timeout = std::chrono::seconds(45);
  // Get, List and ListVms.
  CallBudget reads{.per_second = 20, .burst = 60};
  CallBudget writes{.per_second = 40, .burst = 120};
  CallBudget watches{.per_second = 5, .burst = 20};
  // Idle connections that are kept open.
  int max_idle_connections = 8;
};

// Calls of one kind since the start.
struct CallCounts {
  // Sent to the platform.
  uint64_t sent = 0;
  // Refused here, over the budget.
  uint64_t refused = 0;
  // Sent, without a usable answer.
  uint64_t failed = 0;
};

// The platform's Object API over HTTP. Keeps to a budget of calls of each
// kind. A call fails at once when it is over; waiting and trying again is up to
// the caller. One thread.
//
// Calls in flight when the store is destroyed still end, and call back.
class HttpObjectStore : public ObjectStore {
 public:
  // Callbacks come on `executor`.
  HttpObjectStore(const boost::asio::any_io_executor& executor,
                  const HttpObjectStoreOptions& options);
  ~HttpObjectStore() override;

  // The contract of ObjectStore. Beside its errors: kInvalidArgument from Put
  // if the platform refuses the value as too long.
  void Get(const std::string& key, GetCallback done) override;
  void Put(const ConditionalWrite& write, PutCallback done) override;
  void List(const std::string& prefix, ListCallback done) override;
  void Watch(const std::string& key,
             ObjectVersion after,
             GetCallback done) override;

  using VmsCallback =
      std::function<void(absl::StatusOr<std::vector<PlatformVm>>)>;

  // The platform's VM list, with errors and callback as those of List.
  void ListVms(VmsCallback done);

  const CallCounts& read_counts() const;
  const CallCounts& write_counts() const;
  const CallCounts& watch_counts() const;

 private:
  class Caller;

  const HttpObjectStoreOptions options_;
  // Shared with the calls in flight.
  std::shared_ptr<Caller> caller_;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_HTTP_OBJECT_STORE_H_
