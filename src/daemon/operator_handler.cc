#include "src/daemon/operator_handler.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "include/wire/http_exchange.h"
#include "src/daemon/router_error.h"
#include "src/daemon/token_digest.h"

namespace papaya {

namespace asio = boost::asio;

OperatorHandler::OperatorHandler(const std::string& token_sha256)
    : token_digest_(absl::HexStringToBytes(token_sha256)) {}

void OperatorHandler::Add(const std::string& method,
                          const std::string& path,
                          Handler handler) {
  entries_[method + " " + path] = {.handler = std::move(handler)};
}

void OperatorHandler::AddOpen(const std::string& method,
                              const std::string& path,
                              Handler handler) {
  entries_[method + " " + path] = {.handler = std::move(handler), .open = true};
}

asio::awaitable<void> OperatorHandler::Serve(HttpExchange& exchange) {
  const HttpRequest request = exchange.TakeRequest();
  const Entry* entry = Find(request);
  const bool open = entry != nullptr && entry->open;
  HttpResponse response;
  if (!open && !HasToken(request)) {
    const RouterError error{.status = 401,
                            .code = "unknown_token",
                            .message = "the operator token is missing or wrong",
                            .step = "operator.token"};
    response = MakeErrorResponse(error);
  } else if (entry == nullptr) {
    const RouterError error{.status = 404,
                            .code = "unknown_path",
                            .message = "no page with this method and path",
                            .step = "operator.route"};
    response = MakeErrorResponse(error);
  } else {
    response = co_await entry->handler(request);
  }
  (co_await exchange.Respond(std::move(response))).IgnoreError();
}

const OperatorHandler::Entry* OperatorHandler::Find(
    const HttpRequest& request) const {
  const std::string wanted =
      request.method + " " + PathOfTarget(request.target);
  const Entry* best = nullptr;
  size_t best_size = 0;
  for (const auto& [path, entry] : entries_) {
    const bool is_prefix = path.back() == '/' && absl::StartsWith(wanted, path);
    if ((path == wanted || is_prefix) && path.size() >= best_size) {
      best = &entry;
      best_size = path.size();
    }
  }
  return best;
}

bool OperatorHandler::HasToken(const HttpRequest& request) const {
  return EqualInConstantTime(Sha256(BearerToken(request.headers)),
                             token_digest_);
}

}  // namespace papaya
