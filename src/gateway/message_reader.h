#ifndef SRC_GATEWAY_MESSAGE_READER_H_
#define SRC_GATEWAY_MESSAGE_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "include/gateway/gateway_config.h"
#include "include/wire/http_message.h"
#include "include/wire/http_server.h"

namespace papaya {

// Reads one request of a caller from bytes as they come. Refuses what two
// readers could take for different requests.
class RequestReader {
 public:
  enum class State : uint8_t { kHead, kBody, kDone, kError };

  explicit RequestReader(const CallerLimits& limits);
  ~RequestReader();

  // Takes what belongs to the request from the front of `input`.
  State Feed(std::string* input);

  // The request; after kDone only.
  HttpRequest Take();
  // What is wrong; after kError only.
  const HttpFault& read_error() const { return read_error_; }

  // From the end of the header on: the connection may carry another request.
  bool keeps_alive() const { return keeps_alive_; }
  // The caller speaks HTTP/1.0, which has no chunks.
  bool is_http_1_0() const { return is_http_1_0_; }
  bool is_head_done() const { return state_ != State::kHead; }
  // The caller waits for a word before it sends the body.
  bool expects_continue() const { return expects_continue_; }

 private:
  class Parser;

  State Fail(int status, const char* code, const std::string& message);
  State CheckHead();

  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  HttpFault read_error_;
  bool keeps_alive_ = false;
  bool is_http_1_0_ = false;
  bool expects_continue_ = false;
};

// Reads one answer of an upstream from bytes as they come.
class ResponseReader {
 public:
  enum class State : uint8_t { kHead, kBody, kDone, kError };

  // `has_no_body` for answers to HEAD requests.
  explicit ResponseReader(bool has_no_body);
  ~ResponseReader();

  // Takes what belongs to the answer from the front of `input`.
  State Feed(std::string* input);

  // The connection ended in order; answers without a length end so.
  State FeedEnd();

  // From kBody on.
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  // Empty if the answer does not say.
  std::optional<uint64_t> length() const { return length_; }
  bool keeps_alive() const { return keeps_alive_; }

  // The body's bytes that came since the last call.
  std::string TakeBody();

  // What is wrong; after kError only.
  const std::string& read_error() const { return read_error_; }

 private:
  class Parser;

  void StoreHead();

  const bool has_no_body_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  int status_ = 0;
  HttpHeaders headers_;
  std::optional<uint64_t> length_;
  bool keeps_alive_ = false;
  std::string read_error_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_MESSAGE_READER_H_
