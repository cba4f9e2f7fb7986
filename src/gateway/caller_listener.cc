#include "src/gateway/caller_listener.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "src/wire/address.h"

namespace papaya {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Connections accepted for one event. If each were an event of its own, a busy
// event loop would accept one connection in each pass of its queue.
constexpr int kMaxAcceptsPerEvent = 64;

HttpResponse MakeErrorResponse(const HttpFault& read_error) {
  return MakeJsonResponse(
      read_error.status, absl::StrCat("{\"error\":\"", read_error.code, "\"}"));
}

}  // namespace

CallerListener::CallerListener(boost::asio::io_context& context,
                               int max_connections,
                               RequestHook request)
    : context_(context),
      acceptor_(context),
      max_connections_(max_connections),
      shared_(std::make_shared<CallerShared>()) {
  shared_->request = std::move(request);
  shared_->read_error = &MakeErrorResponse;
  shared_->ended = [this](CallerConnection* connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
      return;
    }
    // One of the connection's methods may be on the call stack, so it is
    // destroyed later.
    boost::asio::post(context_, [held = std::move(found->second)] {});
    connections_.erase(found);
  };
}

CallerListener::~CallerListener() {
  shared_->ended = [](CallerConnection*) {};
}

absl::Status CallerListener::Start(const std::string& address) {
  const absl::StatusOr<uint16_t> port =
      ListenAt(address, "callers.listen", &acceptor_);
  if (!port.ok()) {
    return port.status();
  }
  port_ = *port;
  error_code error;
  acceptor_.non_blocking(true, error);
  if (error) {
    return MakeError(absl::StatusCode::kInternal,
                     {.step = "callers.listen", .peer = address},
                     error.message());
  }
  Accept();
  return absl::OkStatus();
}

void CallerListener::Accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read,
                       [this](const error_code& error) {
                         if (error == boost::asio::error::operation_aborted ||
                             !acceptor_.is_open()) {
                           return;
                         }
                         if (AcceptBacklog() == Backlog::kFailed) {
                           // Out of descriptors, say. The backlog stays
                           // readable, so another wait would end at once; the
                           // next tick tries again.
                           is_paused_ = true;
                           return;
                         }
                         Accept();
                       });
}

CallerListener::Backlog CallerListener::AcceptBacklog() {
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    tcp::socket socket(context_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error == boost::asio::error::connection_aborted) {
      continue;
    }
    if (error) {
      return error == boost::asio::error::would_block ? Backlog::kEmpty
                                                      : Backlog::kFailed;
    }
    Add(std::move(socket));
  }
  return Backlog::kMore;
}

void CallerListener::Add(tcp::socket socket) {
  if (static_cast<int>(connections_.size()) >= max_connections_) {
    return;
  }
  auto connection =
      std::make_shared<CallerConnection>(std::move(socket), shared_);
  connections_.emplace(connection.get(), connection);
  connection->Start();
}

bool CallerListener::StopAccepting() {
  if (!acceptor_.is_open()) {
    return false;
  }
  // Closing the socket resets the connections in its backlog.
  while (AcceptBacklog() == Backlog::kMore) {
  }
  error_code ignored;
  acceptor_.close(ignored);
  return true;
}

void CallerListener::CloseIdle() {
  shared_->is_shutting_down = true;
  for (const auto& [key, connection] : connections_) {
    connection->CloseIfIdle();
  }
}

void CallerListener::OnTick(TimePoint now) {
  if (is_paused_ && acceptor_.is_open()) {
    is_paused_ = false;
    Accept();
  }
  std::vector<std::shared_ptr<CallerConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  for (const std::shared_ptr<CallerConnection>& connection : all) {
    connection->OnTick(now);
  }
}

}  // namespace papaya
