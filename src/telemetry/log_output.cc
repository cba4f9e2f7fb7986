#include "include/telemetry/log_output.h"

#include <limits.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/telemetry/event.h"
#include "include/telemetry/logger.h"

namespace papaya {

namespace {

std::string FormatLoss(uint64_t lines) {
  Event event{.id = EventId::kLogLinesLost};
  event.fields = {{"lines", absl::StrCat(lines)}};
  const WallTime now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return FormatEvent(event, now) + "\n";
}

}  // namespace

// The queue and the thread that empties it.
class LogOutput::Writer {
 public:
  Writer(int fd, const Options& options)
      : fd_(fd),
        options_(options),
        give_up_(eventfd(0, EFD_CLOEXEC)),
        thread_([this] { Run(); }) {}

  ~Writer() {
    std::unique_lock<std::mutex> lock(mutex_);
    is_ending_ = true;
    changed_.notify_all();
    changed_.wait_for(lock, options_.farewell, [this] { return has_ended_; });
    lock.unlock();
    eventfd_write(give_up_, 1);
    thread_.join();
    close(give_up_);
  }

  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Push(std::string_view line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    // What follows a lost line is lost too, so that the loss has one place.
    if (lost_ > 0 ||
        std::ssize(queued_) + std::ssize(line) > options_.max_queued.value()) {
      ++lost_;
    } else {
      queued_ += line;
    }
    changed_.notify_all();
  }

 private:
  void Run() {
    std::string text = Take();
    while (!text.empty() && WriteAll(text)) {
      text = Take();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    has_ended_ = true;
    changed_.notify_all();
  }

  // All that is queued, waiting for it; empty at the end.
  std::string Take() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(
        lock, [this] { return is_ending_ || lost_ > 0 || !queued_.empty(); });
    std::string text = std::exchange(queued_, std::string());
    const uint64_t lost = std::exchange(lost_, 0);
    if (lost > 0) {
      text += FormatLoss(lost);
    }
    return text;
  }

  // False if the reader did not take it before the end. What nobody can read
  // any more counts as taken.
  bool WriteAll(std::string_view text) {
    while (!text.empty()) {
      if (!AwaitRoom()) {
        return false;
      }
      // A pipe that has room takes this much without waiting.
      const ssize_t written =
          write(fd_, text.data(), std::min<size_t>(text.size(), PIPE_BUF));
      if (written < 0 && errno != EINTR && errno != EAGAIN) {
        return true;
      }
      text.remove_prefix(static_cast<size_t>(std::max<ssize_t>(written, 0)));
    }
    return true;
  }

  // False if the destructor has given up.
  bool AwaitRoom() const {
    std::array<struct pollfd, 2> ready = {
        {{.fd = fd_, .events = POLLOUT, .revents = 0},
         {.fd = give_up_, .events = POLLIN, .revents = 0}}};
    while (poll(ready.data(), ready.size(), -1) < 0 && errno == EINTR) {
    }
    return ready[1].revents == 0;
  }

  const int fd_;
  const Options options_;
  // Readable once the destructor waits no longer.
  const int give_up_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by mutex_.
  std::string queued_;
  uint64_t lost_ = 0;
  bool is_ending_ = false;
  bool has_ended_ = false;
  // Last, as it uses all the others.
  std::thread thread_;
};

// Hands over what was written at each flush.
class LogOutput::LineBuffer : public std::stringbuf {
 public:
  explicit LineBuffer(Writer* writer)
      : std::stringbuf(std::ios::out), writer_(writer) {}

 protected:
  int sync() override {
    writer_->Push(view());
    str(std::string());
    return 0;
  }

 private:
  Writer* writer_;
};

LogOutput::LogOutput(int fd, const Options& options)
    : writer_(std::make_unique<Writer>(fd, options)),
      buffer_(std::make_unique<LineBuffer>(writer_.get())),
      stream_(buffer_.get()) {}

LogOutput::~LogOutput() = default;

}  // namespace papaya
