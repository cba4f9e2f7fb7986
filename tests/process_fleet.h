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

// Stand-ins and routers in processes of their own: two booking services, two
// engines, the platform, and routers that know each other.
class ProcessFleet {
 public:
  // Further flags of the stand-ins of each role.
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

  // Starts a router, and waits until it is ready and it and all that run know
  // each other. `more` are lines for its section `router`.
  void StartRouter(const std::string& name, const std::string& more = "");

  // Kills a router and waits for its end.
  void KillRouter(const std::string& name);

  // Waits until `router` logs the event `event` about `subject`.
  void AwaitEvent(const std::string& router,
                  const std::string& event,
                  const std::string& subject);

  ChildProcess& router(const std::string& name) { return *routers_.at(name); }
  // Where `router` serves callers.
  const std::string& address(const std::string& router) const {
    return addresses_.at(router);
  }
  std::vector<std::string> addresses() const;
  const std::string& operator_address(const std::string& router) const {
    return operator_addresses_.at(router);
  }
  const std::filesystem::path& directory() const { return directory_; }

  // The value of the number `key` on the status page of `router`.
  int64_t StatusOf(const std::string& router, const std::string& key);

  // Switches faults of a stand-in, as POST /faults takes them; `name` is
  // `platform`, `booking-1`, `engine-1` and so on.
  void SetFaults(const std::string& name, const std::string& faults);

  // How often each booking was run, over both services.
  std::map<std::string, uint64_t> Ledger();
  // The same of one service.
  std::map<std::string, uint64_t> LedgerOf(const std::string& service);
  uint64_t RunsOf(const std::string& key) { return Ledger()[key]; }
  // Waits until a service has accepted the booking `key`.
  void AwaitRun(const std::string& key);

  // Sends a request to `address` and awaits its answer.
  HttpResponse Ask(const std::string& address, const HttpRequest& request);

  HttpResponse AskStandin(const std::string& name, const HttpRequest& request) {
    return Ask(standins_.at(name), request);
  }

  // Begins a request that may fail; End, or another Ask, moves it on.
  class Call;
  std::unique_ptr<Call> Begin(const std::string& router,
                              const HttpRequest& request);

  // Tickets that `router` issues.
  std::vector<std::string> Tickets(const std::string& router, int count);

  // A request of the account `hire_desk`.
  static HttpRequest Post(const std::string& target, const std::string& body);
  // A booking whose services know it as `key`, with `header` set to `value`.
  static HttpRequest Booking(const std::string& key,
                             const std::string& header,
                             const std::string& value);

  // A chat that is streamed and is not urgent.
  static HttpRequest Chat(const std::string& prompt, Tokens max_tokens);
  // Reads a stream into `check` until its end, or until it breaks; `read` is
  // called after each piece. Gives the stream's id.
  boost::asio::awaitable<std::string> ReadStream(
      std::string address,
      HttpRequest request,
      ResponseChecker* check,
      std::function<void()> read = nullptr);

  // Sends a load; calls `at_half` once, when half of its time is over.
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
  // The settings of settings/skokan.ini, with this test's addresses.
  std::string SettingsOf(const std::string& name,
                         const std::string& more) const;

  std::filesystem::path directory_;
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  // By name.
  std::map<std::string, std::string> standins_;
  std::map<std::string, std::unique_ptr<ChildProcess>> routers_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::string, std::string> operator_addresses_;
};

// A request on its way.
class ProcessFleet::Call {
 public:
  explicit Call(boost::asio::io_context* context) : context_(*context) {}

  // Awaits the end; an error if the connection broke.
  absl::StatusOr<HttpResponse> End();

 private:
  friend class ProcessFleet;

  boost::asio::io_context& context_;
  bool is_over_ = false;
  absl::StatusOr<HttpResponse> response_ = absl::UnknownError("not ended");
};

}  // namespace papaya

#endif  // TESTS_PROCESS_FLEET_H_
