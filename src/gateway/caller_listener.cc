#include "src/gateway/caller_listener.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/wire/address.h"

namespace papaya {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

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
  Accept();
  return absl::OkStatus();
}

void CallerListener::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted ||
        !acceptor_.is_open()) {
      return;
    }
    if (!error) {
      Add(std::move(socket));
    }
    Accept();
  });
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
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (!error) {
      Add(std::move(socket));
    }
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
