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
  enum class State : uint8_t { kHead, kBody, kDone, kFault };

  explicit RequestReader(const CallerLimits& limits);
  ~RequestReader();

  // Takes what belongs to the request from the front of `input`.
  State Feed(std::string* input);

  // The request; after kDone only.
  HttpRequest Take();
  // What is wrong; after kFault only.
  const HttpFault& fault() const { return fault_; }

  // From the end of the header on: the connection may carry another request.
  bool keeps_alive() const { return keeps_alive_; }
  // The caller speaks HTTP/1.0, which has no chunks.
  bool is_old_version() const { return is_old_version_; }
  bool is_head_done() const { return state_ != State::kHead; }
  // The caller waits for a word before it sends the body.
  bool expects_continue() const { return expects_continue_; }

 private:
  class Parser;

  State Fail(int status, const char* code, const std::string& message);
  State CheckHead();

  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  HttpFault fault_;
  bool keeps_alive_ = false;
  bool is_old_version_ = false;
  bool expects_continue_ = false;
};

// Reads one answer of an upstream from bytes as they come.
class AnswerReader {
 public:
  enum class State : uint8_t { kHead, kBody, kDone, kFault };

  // `has_no_body` for answers to HEAD requests.
  explicit AnswerReader(bool has_no_body);
  ~AnswerReader();

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

  // What is wrong; after kFault only.
  const std::string& fault() const { return fault_; }

 private:
  class Parser;

  void NoteHead();

  const bool has_no_body_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  int status_ = 0;
  HttpHeaders headers_;
  std::optional<uint64_t> length_;
  bool keeps_alive_ = false;
  std::string fault_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_MESSAGE_READER_H_
