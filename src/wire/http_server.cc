#include "include/wire/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <utility>

#include "include/base/error.h"
#include "src/wire/address.h"
#include "src/wire/http_connection.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// How long accepting rests when the process has no file descriptor left.
constexpr std::chrono::milliseconds kAcceptRest{50};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::vector<asio::io_context*> contexts,
       std::shared_ptr<HttpServerShared> shared)
      : contexts_(std::move(contexts)),
        shared_(std::move(shared)),
        acceptor_(*contexts_.front()),
        rest_(*contexts_.front()) {}

  absl::Status Listen() {
    const absl::StatusOr<uint16_t> port =
        ListenAt(shared_->options.address, "http.listen", &acceptor_);
    if (!port.ok()) {
      return port.status();
    }
    port_ = *port;
    Accept();
    return absl::OkStatus();
  }

  uint16_t port() const { return port_; }
  HttpServerShared& shared() { return *shared_; }

  void StopAccepting() {
    shared_->closing = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->acceptor_.close(ignored);
      self->rest_.cancel();
    });
    ForEach([](HttpConnection& connection) { connection.CloseIfIdle(); });
  }

  void Abort() {
    ForEach([](HttpConnection& connection) { connection.Abort(); });
  }

 private:
  void Accept() {
    asio::io_context& context = *contexts_[next_++ % contexts_.size()];
    acceptor_.async_accept(
        context, [self = shared_from_this()](const error_code& error,
                                             asio::ip::tcp::socket socket) {
          self->OnAccepted(error, std::move(socket));
        });
  }

  void OnAccepted(const error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      Rest();
      return;
    }
    const auto connection =
        std::make_shared<HttpConnection>(std::move(socket), shared_);
    Remember(connection);
    connection->Start();
    Accept();
  }

  void Rest() {
    rest_.expires_after(kAcceptRest);
    rest_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && self->acceptor_.is_open()) {
        self->Accept();
      }
    });
  }

  void Remember(const std::shared_ptr<HttpConnection>& connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (connections_.size() > 2 * live_after_sweep_ + kSweepSlack) {
      std::erase_if(connections_,
                    [](const auto& weak) { return weak.expired(); });
      live_after_sweep_ = connections_.size();
    }
    connections_.push_back(connection);
  }

  template <typename Function>
  void ForEach(Function function) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::weak_ptr<HttpConnection>& weak : connections_) {
      const std::shared_ptr<HttpConnection> connection = weak.lock();
      if (connection != nullptr) {
        function(*connection);
      }
    }
  }

  static constexpr size_t kSweepSlack = 64;

  std::vector<asio::io_context*> contexts_;
  std::shared_ptr<HttpServerShared> shared_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer rest_;
  size_t next_ = 0;
  uint16_t port_ = 0;
  std::mutex mutex_;
  // Guarded by mutex_. Expired ones are swept out as the list grows.
  std::vector<std::weak_ptr<HttpConnection>> connections_;
  size_t live_after_sweep_ = 0;
};

HttpServer::HttpServer(std::vector<asio::io_context*> contexts,
                       const HttpServerOptions& options,
                       Handler handler,
                       FaultHook on_fault) {
  const auto shared = std::make_shared<HttpServerShared>();
  shared->options = options;
  shared->handler = std::move(handler);
  shared->on_fault = std::move(on_fault);
  impl_ = std::make_shared<Impl>(std::move(contexts), shared);
}

HttpServer::~HttpServer() {
  StopAccepting();
  Abort();
}

absl::Status HttpServer::Start() {
  return impl_->Listen();
}

uint16_t HttpServer::port() const {
  return impl_->port();
}

void HttpServer::AnnounceClose() {
  impl_->shared().closing = true;
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

void HttpServer::Abort() {
  impl_->Abort();
}

int HttpServer::connections() const {
  return impl_->shared().connections;
}

}  // namespace papaya
