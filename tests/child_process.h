#ifndef TESTS_CHILD_PROCESS_H_
#define TESTS_CHILD_PROCESS_H_

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace papaya {

// Runs a program of this build as a child process whose standard output the
// test reads. Kills the process in the destructor if it is still running.
class ChildProcess {
 public:
  // `words` are the program's name in the build directory and its arguments.
  // With `with_errors` its standard error is captured as well.
  explicit ChildProcess(std::vector<std::string> words,
                        bool with_errors = false) {
    words.front() = std::string(PAPAYA_BINARY_DIR) + "/" + words.front();
    std::array<int, 2> ends;
    REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0);
    output_ = ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (with_errors) {
      posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    }
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int error = posix_spawn(&pid_, words.front().c_str(), &actions,
                                  nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    REQUIRE(error == 0);
  }

  ~ChildProcess() {
    if (!exit_status_) {
      kill(pid_, SIGKILL);
      Wait();
    }
    close(output_);
  }

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Returns the next line of output that contains `part`. Fails the test if
  // there is none within `limit` or before the output ends.
  std::string ReadLineWith(
      const std::string& part,
      std::chrono::seconds limit = std::chrono::seconds(30)) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (true) {
      while (const std::optional<std::string> line = TakeLine()) {
        if (line->find(part) != std::string::npos) {
          return *line;
        }
      }
      struct pollfd ready = {.fd = output_, .events = POLLIN, .revents = 0};
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      INFO("waiting for a line with " << part);
      REQUIRE(left.count() > 0);
      REQUIRE(poll(&ready, 1, static_cast<int>(left.count())) > 0);
      std::array<char, 4096> bytes;
      const ssize_t count = read(output_, bytes.data(), bytes.size());
      REQUIRE(count > 0);
      buffer_.append(bytes.data(), static_cast<size_t>(count));
    }
  }

  // Returns the rest of the output, up to its end.
  std::string ReadRest() {
    std::array<char, 4096> bytes;
    ssize_t count = 0;
    while ((count = read(output_, bytes.data(), bytes.size())) > 0) {
      buffer_.append(bytes.data(), static_cast<size_t>(count));
    }
    return buffer_;
  }

  void Signal(int number) const { kill(pid_, number); }

  // Waits until the process ends. Returns its exit status, or -1 if a signal
  // ended it.
  int Wait() {
    if (!exit_status_) {
      int status = 0;
      waitpid(pid_, &status, 0);
      exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return *exit_status_;
  }

  // Returns the string value of `key` in a JSON line.
  static std::string TextIn(const std::string& line, const std::string& key) {
    const std::string mark = "\"" + key + "\":\"";
    const size_t at = line.find(mark);
    REQUIRE(at != std::string::npos);
    const size_t from = at + mark.size();
    return line.substr(from, line.find('"', from) - from);
  }

 private:
  std::optional<std::string> TakeLine() {
    const size_t end = buffer_.find('\n');
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    return line;
  }

  pid_t pid_ = 0;
  int output_ = -1;
  std::string buffer_;
  std::optional<int> exit_status_;
};

}  // namespace papaya

#endif  // TESTS_CHILD_PROCESS_H_
