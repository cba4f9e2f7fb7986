#ifndef SRC_DAEMON_OPERATOR_HANDLER_H_
#define SRC_DAEMON_OPERATOR_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "include/wire/http_message.h"

namespace papaya {

class HttpExchange;

// What operators reach. Health checks need no token, all else does.
class OperatorHandler {
 public:
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest&)>;

  // `token_sha256` is the SHA-256 of the operators' token, in hex.
  explicit OperatorHandler(const std::string& token_sha256);

  // Answers `method` on `path`, or on all paths that start with it if it ends
  // with `/`, by `handler`. The longest path goes first.
  void Add(const std::string& method, const std::string& path, Handler handler);

  // The same, for anybody without a token.
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
  // By method, blank, path.
  std::map<std::string, Entry> entries_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_OPERATOR_HANDLER_H_
