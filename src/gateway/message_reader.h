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

// Parses one request of a caller incrementally. Rejects requests with ambiguous
// framing or hosts, which another parser could read as different requests.
class RequestReader {
 public:
  enum class State : uint8_t { kHead, kBody, kDone, kError };

  explicit RequestReader(const CallerLimits& limits);
  ~RequestReader();

  // Consumes the bytes of the request from the front of `input`.
  State Feed(std::string* input);

  // Returns the request. Call only in state kDone, and once.
  HttpRequest Take();
  // The error; set in state kError only.
  const HttpFault& read_error() const { return read_error_; }

  // True if the connection may carry another request. Valid after the header.
  bool keeps_alive() const { return keeps_alive_; }
  // True for HTTP/1.0, which has no chunked encoding.
  bool is_http_1_0() const { return is_http_1_0_; }
  bool is_head_done() const { return state_ != State::kHead; }
  // The length of the body; empty if the header does not state it. Valid after
  // the header.
  std::optional<uint64_t> length() const;
  // Returns a copy of the header. Valid after the header.
  HttpRequest CopyHead() const;
  // Bytes of the body received so far.
  size_t body_size() const;
  // Makes room for a body of `bytes`, so that it is not copied as it grows.
  void ReserveBody(size_t bytes);
  // About the memory that the header takes.
  size_t head_memory() const { return head_memory_; }

  // True if the caller waits for `100 Continue` before it sends the body.
  bool expects_continue() const { return expects_continue_; }

 private:
  class Parser;

  State Fail(int status, const char* code, const std::string& message);
  State CheckHead();

  std::unique_ptr<Parser> parser_;
  const size_t max_header_bytes_;
  State state_ = State::kHead;
  HttpFault read_error_;
  bool keeps_alive_ = false;
  bool is_http_1_0_ = false;
  bool expects_continue_ = false;
  size_t head_memory_ = 0;
};

// Parses one response of an upstream incrementally. Skips interim responses.
class ResponseReader {
 public:
  enum class State : uint8_t { kHead, kBody, kDone, kError };

  // `has_no_body` is set for responses to HEAD requests.
  explicit ResponseReader(bool has_no_body);
  ~ResponseReader();

  // Consumes the bytes of the response from the front of `input`.
  State Feed(std::string* input);

  // The upstream has closed the connection in order, which ends a response
  // without a length. Any other incomplete response becomes an error.
  State FeedEnd();

  // Valid from state kBody on.
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  // The length of the body; empty if the header does not state it.
  std::optional<uint64_t> length() const { return length_; }
  bool keeps_alive() const { return keeps_alive_; }

  // Returns the bytes of the body received since the last call.
  std::string TakeBody();

  // The error; set in state kError only.
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
  int interim_responses_ = 0;
  std::string read_error_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_MESSAGE_READER_H_
