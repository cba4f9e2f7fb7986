#ifndef INCLUDE_STANDIN_STANDIN_SERVER_H_
#define INCLUDE_STANDIN_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/base/units.h"
#include "include/standin/engine_model.h"
#include "include/standin/platform_model.h"
#include "include/standin/standin_faults.h"

namespace papaya {

class HttpServer;
class StandinHandler;

enum class StandinRole : uint8_t { kEngine, kService, kPlatform };

// `engine`, `service` or `platform`.
const char* StandinRoleName(StandinRole role);

// The role called `name`; empty if there is none.
std::optional<StandinRole> ParseStandinRole(const std::string& name);

struct StandinOptions {
  StandinRole role = StandinRole::kEngine;
  // IP:PORT; port 0 takes a free one.
  std::string address = "127.0.0.1:0";
  uint64_t seed = 1;
  StandinFaults faults;
  EngineOptions engine;
  std::vector<VersionFault> version_fault;
  PlatformOptions platform;
  // VMs in the platform's list from the start.
  std::vector<VmId> vms;
  // A plain service takes so long for a call.
  Duration service_time = std::chrono::milliseconds(5);
};

// One stand-in behind HTTP, as docs/PROTOCOLS.md has it. Beside the protocol
// each takes `GET` and `POST /faults`; an engine `POST /badness`; a service
// `GET /ledger`, which gives `{"runs":{"<key>":n},"repeated_runs":n}`; the
// platform `POST /vms` with `{"id","state"}`, where state may be `gone`, and
// `GET /counts` of the calls that it served.
class StandinServer {
 public:
  // `context` must be run by one thread and outlive this.
  StandinServer(boost::asio::io_context* context,
                const StandinOptions& options);
  ~StandinServer();

  // Starts to listen.
  absl::Status Start();

  // The address that is listened on, with its port; valid after Start.
  std::string address() const;

 private:
  const StandinOptions options_;
  std::unique_ptr<StandinHandler> handler_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_STANDIN_SERVER_H_
