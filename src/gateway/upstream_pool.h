#ifndef SRC_GATEWAY_UPSTREAM_POOL_H_
#define SRC_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/header_codec.h"

namespace papaya {

class UpstreamConnection;

// Idle connections by upstream. One of an upstream that started again is never
// used for its successor. One thread.
class UpstreamPool {
 public:
  // Both must outlive this.
  UpstreamPool(boost::asio::io_context& context,
               const HeaderCodec* header_codec);
  ~UpstreamPool();

  // A connection to `upstream`: the one used last, or a new one.
  std::shared_ptr<UpstreamConnection> Acquire(const UpstreamId& upstream,
                                              TimePoint now);

  // Keeps `connection` for later if it can be used again.
  void Release(const UpstreamId& upstream,
               std::shared_ptr<UpstreamConnection> connection,
               TimePoint now);

  // Closes what can't be used any more.
  void OnTick(TimePoint now);

  // Connections made so far.
  int64_t opened() const { return opened_; }

 private:
  boost::asio::io_context& context_;
  const HeaderCodec* const header_codec_;
  std::map<UpstreamId, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
  int64_t opened_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_UPSTREAM_POOL_H_
