#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/standin/load_plan.h"
#include "include/standin/load_tally.h"
#include "include/standin/response_checker.h"
#include "include/wire/http_message.h"
#include "tests/child_process.h"

namespace papaya {

// Stand-ins and routers, each in its own process: two booking services, two
// engines, the platform, and routers of one fleet.
class ProcessFleet {
 public:
  // Additional flags for the stand-ins of each role.
  struct Flags {
    std::vector<std::string> engine;
    std::vector<std::string> service;
    std::vector<std::string> platform;
  };

  static constexpr const char* kToken = "skokan-hire-desk";

  ProcessFleet() : ProcessFleet(Flags()) {}
  explicit ProcessFleet(const Flags& flags);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  // Starts a router. Waits until it is ready and it and all running routers
  // know each other. `more` contains additional lines for its settings section
  // `router`.
  void StartRouter(const std::string& name, const std::string& more = "");

  // Kills a router with SIGKILL and waits until it has ended.
  void KillRouter(const std::string& name);

  // Waits until `router` logs the event `event` with `subject` as a field
  // value.
  void AwaitEvent(const std::string& router,
                  const std::string& event,
                  const std::string& subject);

  ChildProcess& router(const std::string& name) { return *routers_.at(name); }
  // Address at which `router` serves callers.
  const std::string& address(const std::string& router) const {
    return addresses_.at(router);
  }
  std::vector<std::string> addresses() const;
  const std::string& operator_address(const std::string& router) const {
    return operator_addresses_.at(router);
  }
  const std::filesystem::path& directory() const { return directory_; }

  // Returns the number `key` of the status page of `router`.
  int64_t StatusOf(const std::string& router, const std::string& key);

  // Sets the faults of a stand-in by POST /faults; `name` is `platform`,
  // `booking-1`, `engine-1` and so on.
  void SetFaults(const std::string& name, const std::string& faults);

  // Number of runs of each booking, summed over both services.
  std::map<std::string, uint64_t> Ledger();
  // Number of runs of each booking in one service.
  std::map<std::string, uint64_t> LedgerOf(const std::string& service);
  uint64_t RunsOf(const std::string& key) { return Ledger()[key]; }
  // Waits until the ledger of a service contains the booking `key`.
  void AwaitRun(const std::string& key);

  // Sends a request to `address` and returns the response; fails the test if
  // there is none.
  HttpResponse Fetch(const std::string& address, const HttpRequest& request);

  HttpResponse FetchFromStandin(const std::string& name,
                                const HttpRequest& request) {
    return Fetch(standins_.at(name), request);
  }

  // Starts a request that may fail. It makes progress while Call::End or
  // another Fetch runs.
  class Call;
  std::unique_ptr<Call> Begin(const std::string& router,
                              const HttpRequest& request);

  // Requests `count` tickets from `router`.
  std::vector<std::string> Tickets(const std::string& router, int count);

  // A POST request of the client account `hire_desk`.
  static HttpRequest Post(const std::string& target, const std::string& body);
  // A booking with the key `key` in its body and `header` set to `value`.
  static HttpRequest Booking(const std::string& key,
                             const std::string& header,
                             const std::string& value);

  // A streamed chat request on the route `plan`.
  static HttpRequest Chat(const std::string& prompt, Tokens max_tokens);
  // Reads a stream into `check` until it ends or fails and calls `read` after
  // each piece. Returns the stream id.
  boost::asio::awaitable<std::string> ReadStream(
      std::string address,
      HttpRequest request,
      ResponseChecker* check,
      std::function<void()> read = nullptr);

  // Runs a load; calls `at_half` once, after half of its duration.
  LoadTally RunLoad(const LoadOptions& options,
                    const std::function<void()>& at_half = nullptr);
  // A mixed load of two seconds on all routers.
  LoadOptions MixedLoad() const;

  boost::asio::io_context& context() { return context_; }

 private:
  std::string StartStandin(const std::string& name,
                           std::vector<std::string> flags,
                           const std::vector<std::string>& more);
  void PutConfig(const std::string& json);
  // The settings of settings/skokan.ini with the addresses of this test.
  std::string SettingsOf(const std::string& name,
                         const std::string& more) const;

  std::filesystem::path directory_;
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  // Keyed by name.
  std::map<std::string, std::string> standins_;
  std::map<std::string, std::unique_ptr<ChildProcess>> routers_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::string, std::string> operator_addresses_;
};

// A request in progress.
class ProcessFleet::Call {
 public:
  explicit Call(boost::asio::io_context* context) : context_(*context) {}

  // Waits for the response; returns an error if the connection failed.
  absl::StatusOr<HttpResponse> End();

 private:
  friend class ProcessFleet;

  boost::asio::io_context& context_;
  bool is_over_ = false;
  absl::StatusOr<HttpResponse> response_ = absl::UnknownError("not ended");
};

}  // namespace papaya

#endif  // TESTS_PROCESS_FLEET_H_
