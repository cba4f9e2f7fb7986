#include "src/gateway/upstream_pool.h"

#include <cstddef>
#include <utility>

#include "include/wire/steady_time.h"
#include "src/gateway/upstream_connection.h"

namespace papaya {

UpstreamPool::UpstreamPool(boost::asio::io_context& context,
                           const HeaderCodec* header_codec,
                           std::shared_ptr<MemoryBudget> memory)
    : context_(context),
      header_codec_(header_codec),
      memory_(std::move(memory)) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamConnection> UpstreamPool::Acquire(
    const UpstreamId& upstream,
    const std::string& attempt_id,
    TimePoint now) {
  std::vector<std::shared_ptr<UpstreamConnection>>& idle = idle_[upstream];
  for (size_t i = idle.size(); i-- > 0;) {
    if (idle[i]->HasRejected(attempt_id)) {
      continue;
    }
    std::shared_ptr<UpstreamConnection> connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->IsReusable(now)) {
      return connection;
    }
    connection->Close();
  }
  ++opened_;
  return std::make_shared<UpstreamConnection>(context_, header_codec_, memory_);
}

void UpstreamPool::Release(const UpstreamId& upstream,
                           std::shared_ptr<UpstreamConnection> connection,
                           TimePoint now) {
  if (connection->IsReusable(now) || connection->IsFinishing()) {
    idle_[upstream].push_back(std::move(connection));
  }
}

void UpstreamPool::CloseIdle(const UpstreamId& upstream) {
  const auto found = idle_.find(upstream);
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [](const auto& connection) {
    // The rest of a request that was answered early is still being sent.
    if (connection->IsFinishing() && !connection->IsReusable(SteadyNow())) {
      return false;
    }
    connection->Close();
    return true;
  });
}

void UpstreamPool::OnTick(TimePoint now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const auto& connection) {
      // A connection that still sends the rest of a request that was answered
      // early is kept until its idle timeout, too.
      if (connection->IsReusable(now) ||
          (connection->IsFinishing() && !connection->IsExpired(now))) {
        return false;
      }
      connection->Close();
      return true;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace papaya
