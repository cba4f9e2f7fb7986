#include <boost/asio/post.hpp>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "include/wire/steady_time.h"
#include "src/daemon/router_impl.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

// Time from reporting "not ready" to closing the listening socket, so that the
// load balancer notices and sends no new connections.
constexpr std::chrono::milliseconds kDrainGrace{1500};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::chrono::milliseconds kPeerFlushTime{100};

}  // namespace

void RouterDaemon::Impl::Drain() {
  if (draining_.exchange(true)) {
    return;
  }
  asio::post(control_thread_.context(), [this] { BeginDrain(); });
}

void RouterDaemon::Impl::Wait() {
  drained_.get_future().wait();
  scheduler_->Stop();
  for (const std::unique_ptr<WorkerThread>& thread : traffic_threads_) {
    thread->Stop();
  }
  control_thread_.Stop();
  Log(EventId::kRouterStopped, {});
}

void RouterDaemon::Impl::BeginDrain() {
  Log(EventId::kRouterDraining,
      {{"open_requests", absl::StrCat(services_.open_requests.load())}});
  if (!state_machine_.Fire("drain")) {
    state_machine_.Fire("stop");
  }
  control_plane_->SetDraining();
  caller_server_->AnnounceClose();
  drain_timer_.expires_after(kDrainGrace);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      caller_server_->StopAccepting();
      AwaitDrained();
    }
  });
}

void RouterDaemon::Impl::AwaitDrained() {
  // Other routers may still forward requests with tickets issued by this one.
  const bool tickets_out =
      SteadyNow() < control_plane_->once().last_ticket_expiry();
  if (services_.open_requests == 0 && caller_server_->connections() == 0 &&
      !tickets_out) {
    control_plane_->Stop();
    operator_server_->StopAccepting();
    EndAfterPeerFlush();
    return;
  }
  drain_timer_.expires_after(kDrainPollInterval);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      AwaitDrained();
    }
  });
}

void RouterDaemon::Impl::EndAfterPeerFlush() {
  drain_timer_.expires_after(kPeerFlushTime);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      peers_->Stop();
      drained_.set_value();
    }
  });
}

}  // namespace papaya
