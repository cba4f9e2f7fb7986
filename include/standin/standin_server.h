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

// Returns `engine`, `service` or `platform`.
const char* StandinRoleName(StandinRole role);

// Returns the role called `name`, or nullopt if there is none.
std::optional<StandinRole> ParseStandinRole(const std::string& name);

struct StandinOptions {
  StandinRole role = StandinRole::kEngine;
  // IP:PORT to listen on; port 0 selects a free port.
  std::string address = "127.0.0.1:0";
  uint64_t seed = 1;
  StandinFaults faults;
  EngineOptions engine;
  std::vector<VersionFault> version_faults;
  PlatformOptions platform;
  // Initial VM list of the platform.
  std::vector<VmId> vms;
  // Duration of a call of the plain service.
  Duration service_time = std::chrono::milliseconds(5);
};

// HTTP server of one stand-in. Serves the protocol in docs/PROTOCOLS.md and, in
// addition, these requests that control and inspect the stand-in:
//   all roles: `GET /faults`, `POST /faults`
//   engine: `POST /badness`, which sets the fault of one version
//   service: `GET /ledger`, which returns
//     `{"runs":{"<key>":n},"repeated_runs":n}`
//   platform: `POST /vms` with `{"id","state"}`, where the state `gone` removes
//     the VM, and `GET /counts`, which returns the numbers of calls
class StandinServer {
 public:
  // `context` must be run by one thread and outlive this.
  StandinServer(boost::asio::io_context* context,
                const StandinOptions& options);
  ~StandinServer();

  // Starts listening.
  absl::Status Start();

  // The address with the actual port; valid after Start.
  std::string address() const;

 private:
  const StandinOptions options_;
  std::unique_ptr<StandinHandler> handler_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_STANDIN_SERVER_H_
