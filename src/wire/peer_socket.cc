#include "src/wire/peer_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "include/base/error.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr size_t kReadBytes = size_t{16} * 1024;
// Longer frames are refused while the memory for routers is used up.
constexpr int64_t kUsualFrameBytes = int64_t{64} * 1024;

std::string NameOf(const asio::ip::tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

}  // namespace

PeerSocket::PeerSocket(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)),
      read_timer_(socket_.get_executor()),
      write_timer_(socket_.get_executor()),
      reader_(kMaxHandshakeBytes) {
  error_code error;
  const asio::ip::tcp::endpoint remote = socket_.remote_endpoint(error);
  peer_ = error ? "unknown" : NameOf(remote);
}

asio::awaitable<absl::Status> PeerSocket::Connect(
    asio::ip::tcp::endpoint endpoint,
    Duration timeout) {
  peer_ = NameOf(endpoint);
  Arm(&write_timer_, timeout);
  const absl::Cleanup disarm = [this] { Disarm(&write_timer_); };
  error_code error;
  co_await socket_.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  co_return ToStatus(error, "peer.connect");
}

asio::awaitable<absl::Status> PeerSocket::Prove(PeerHandshake* handshake,
                                                Duration timeout) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  std::string hello = MakePeerFrame(handshake->Hello());
  absl::Status status = co_await Write(std::move(hello), timeout);
  if (!status.ok()) {
    co_return status;
  }
  absl::StatusOr<std::string> frame = co_await ReadFrame(timeout);
  status = frame.ok() ? handshake->CheckHello(*frame) : frame.status();
  if (!status.ok()) {
    co_return status;
  }
  std::string proof = MakePeerFrame(handshake->Proof());
  status = co_await Write(std::move(proof), timeout);
  if (!status.ok()) {
    co_return status;
  }
  frame = co_await ReadFrame(timeout);
  status = frame.ok() ? handshake->CheckProof(*frame) : frame.status();
  if (status.ok()) {
    reader_.set_max_content(kMaxPeerFrameBytes);
  }
  co_return status;
}

asio::awaitable<absl::StatusOr<std::string>> PeerSocket::ReadFrame(
    Duration timeout) {
  Arm(&read_timer_, timeout);
  const absl::Cleanup disarm = [this] { Disarm(&read_timer_); };
  std::string bytes;
  while (true) {
    absl::StatusOr<std::optional<std::string>> frame = reader_.Next();
    if (!frame.ok()) {
      co_return frame.status();
    }
    if (frame->has_value()) {
      charge_.Set(static_cast<int64_t>(reader_.held_bytes()));
      co_return **std::move(frame);
    }
    bytes.resize(kReadBytes);
    error_code error;
    const size_t size = co_await socket_.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return ToStatus(error, "peer.read");
    }
    bytes.resize(size);
    reader_.Append(bytes);
    const auto held = static_cast<int64_t>(reader_.held_bytes());
    charge_.Set(held);
    if (held > kUsualFrameBytes && memory_ != nullptr &&
        !memory_->AdmitsPeers(0)) {
      co_return MakeError(absl::StatusCode::kResourceExhausted,
                          {.step = "peer.read", .peer = peer_},
                          "no memory for a long frame");
    }
  }
}

void PeerSocket::SetMemory(std::shared_ptr<MemoryBudget> memory) {
  memory_ = std::move(memory);
  charge_ = MemoryCharge(memory_, MemoryKind::kPeers);
}

asio::awaitable<absl::Status> PeerSocket::Write(std::string bytes,
                                                Duration timeout) {
  Arm(&write_timer_, timeout);
  const absl::Cleanup disarm = [this] { Disarm(&write_timer_); };
  error_code error;
  co_await asio::async_write(socket_, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return ToStatus(error, "peer.write");
}

void PeerSocket::Close() {
  error_code ignored;
  socket_.close(ignored);
  read_timer_.cancel();
  write_timer_.cancel();
}

void PeerSocket::Arm(asio::steady_timer* timer, Duration timeout) {
  timer->expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(timeout));
  timer->async_wait([weak = weak_from_this(), timer](const error_code& error) {
    const std::shared_ptr<PeerSocket> self = weak.lock();
    if (error || self == nullptr ||
        timer->expiry() > asio::steady_timer::clock_type::now()) {
      return;
    }
    self->timed_out_ = true;
    self->Close();
  });
}

void PeerSocket::Disarm(asio::steady_timer* timer) {
  // Unlike cancel(), this also stops a handler that is already queued.
  timer->expires_at(asio::steady_timer::time_point::max());
}

absl::Status PeerSocket::ToStatus(const error_code& error,
                                  const char* step) const {
  if (!error) {
    return absl::OkStatus();
  }
  const absl::StatusCode code = timed_out_ ? absl::StatusCode::kDeadlineExceeded
                                           : absl::StatusCode::kUnavailable;
  return MakeError(code, {.step = step, .peer = peer_}, error.message());
}

}  // namespace papaya
