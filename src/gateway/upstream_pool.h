#ifndef SRC_GATEWAY_UPSTREAM_POOL_H_
#define SRC_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "include/admission/memory_budget.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/header_codec.h"

namespace papaya {

class UpstreamConnection;

// Keeps idle connections by upstream. An upstream that restarts has another id,
// so its connections from before are not used again. Single-threaded.
class UpstreamPool {
 public:
  // `context` and `header_codec` must outlive the pool. `memory` may be null.
  UpstreamPool(boost::asio::io_context& context,
               const HeaderCodec* header_codec,
               std::shared_ptr<MemoryBudget> memory);
  ~UpstreamPool();

  // Returns the most recently used idle connection to `upstream` on which the
  // request `attempt_id` was not rejected before, or a new one.
  std::shared_ptr<UpstreamConnection> Acquire(const UpstreamId& upstream,
                                              const std::string& attempt_id,
                                              TimePoint now);

  // Returns `connection` to the pool if it can be reused.
  void Release(const UpstreamId& upstream,
               std::shared_ptr<UpstreamConnection> connection,
               TimePoint now);

  // Closes the idle connections to `upstream`.
  void CloseIdle(const UpstreamId& upstream);

  // Closes the connections that can't be reused any more.
  void OnTick(TimePoint now);

  // The number of connections opened so far.
  int64_t opened() const { return opened_; }

 private:
  boost::asio::io_context& context_;
  const HeaderCodec* const header_codec_;
  const std::shared_ptr<MemoryBudget> memory_;
  std::map<UpstreamId, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
  int64_t opened_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_UPSTREAM_POOL_H_
