#ifndef SRC_DAEMON_OPERATOR_HANDLER_H_
#define SRC_DAEMON_OPERATOR_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "include/wire/http_message.h"

namespace papaya {

class HttpExchange;

// Dispatches HTTP requests of operators to handlers. All handlers require the
// operator token, except those registered with AddOpen.
class OperatorHandler {
 public:
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest&)>;

  // `token_sha256` is the hex-encoded SHA-256 digest of the operator token.
  explicit OperatorHandler(const std::string& token_sha256);

  // Registers `handler` for `method` and `path`. A path that ends with `/`
  // matches all paths that start with it; the longest match wins.
  void Add(const std::string& method, const std::string& path, Handler handler);

  // Like Add, for requests without a token.
  void AddOpen(const std::string& method,
               const std::string& path,
               Handler handler);

  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  struct Entry {
    Handler handler;
    bool open = false;
  };

  const Entry* Find(const HttpRequest& request) const;
  bool HasToken(const HttpRequest& request) const;

  std::string token_digest_;
  // Keyed by "<method> <path>".
  std::map<std::string, Entry> entries_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_OPERATOR_HANDLER_H_
