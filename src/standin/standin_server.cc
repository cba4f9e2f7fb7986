#include "include/standin/standin_server.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "include/wire/http_exchange.h"
#include "include/wire/http_server.h"
#include "src/standin/engine_handler.h"
#include "src/standin/platform_handler.h"
#include "src/standin/service_handler.h"

namespace papaya {

namespace {

constexpr std::array<const char*, 3> kRoleNames = {"engine", "service",
                                                   "platform"};
constexpr Bytes kMaxBodyBytes{8 * 1024 * 1024};
constexpr Bytes kMaxHeaderBytes{64 * 1024};
constexpr Bytes kMaxBufferedBytes{256 * 1024 * 1024};
constexpr int kMaxConnections = 16384;

std::unique_ptr<StandinHandler> MakeHandler(boost::asio::io_context& context,
                                            const StandinOptions& options) {
  switch (options.role) {
    case StandinRole::kEngine:
      return std::make_unique<EngineHandler>(context.get_executor(), options);
    case StandinRole::kService:
      return std::make_unique<ServiceHandler>(options);
    case StandinRole::kPlatform:
      return std::make_unique<PlatformHandler>(context.get_executor(), options);
  }
  return nullptr;
}

}  // namespace

const char* StandinRoleName(StandinRole role) {
  return kRoleNames[static_cast<size_t>(role)];
}

std::optional<StandinRole> ParseStandinRole(const std::string& name) {
  for (size_t index = 0; index < kRoleNames.size(); ++index) {
    if (name == kRoleNames[index]) {
      return static_cast<StandinRole>(index);
    }
  }
  return std::nullopt;
}

StandinServer::StandinServer(boost::asio::io_context* context,
                             const StandinOptions& options)
    : options_(options), handler_(MakeHandler(*context, options)) {
  HttpServerOptions http;
  http.address = options.address;
  http.max_connections = kMaxConnections;
  http.max_header_bytes = kMaxHeaderBytes;
  http.max_body_bytes = kMaxBodyBytes;
  http.max_buffered_bytes = kMaxBufferedBytes;
  server_ = std::make_unique<HttpServer>(
      std::vector<boost::asio::io_context*>{context}, http,
      [this](HttpExchange& exchange) { return handler_->Handle(exchange); },
      [](const HttpFault& fault) {
        return ErrorResponse(fault.status, fault.message);
      });
}

StandinServer::~StandinServer() = default;

absl::Status StandinServer::Start() {
  return server_->Start();
}

std::string StandinServer::address() const {
  const std::string& configured_address = options_.address;
  return absl::StrCat(
      configured_address.substr(0, configured_address.rfind(':')), ":",
      server_->port());
}

}  // namespace papaya
