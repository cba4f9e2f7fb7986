#ifndef SRC_DAEMON_WORKER_THREAD_H_
#define SRC_DAEMON_WORKER_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace papaya {

// A thread that runs an io_context until it is stopped.
class WorkerThread {
 public:
  WorkerThread() : context_(1), guard_(context_.get_executor()) {}
  ~WorkerThread() { Stop(); }
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  boost::asio::io_context& context() { return context_; }

  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }

  // Ends the thread after the handler in progress. Must not be called on the
  // thread itself.
  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_WORKER_THREAD_H_
