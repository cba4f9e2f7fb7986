#include "src/gateway/message_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// The memory of a parsed header line beside its text, and the shortest line.
constexpr size_t kLineMemory = 96;
constexpr size_t kMinLineBytes = 4;
// Responses with more interim responses than this are malformed.
constexpr int kMaxInterimResponses = 16;

template <typename Message>
HttpHeaders CopyHeaders(const Message& message) {
  HttpHeaders headers;
  for (const auto& field : message) {
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

template <typename Message>
int CountFields(const Message& message, http::field name) {
  const auto range = message.equal_range(name);
  return static_cast<int>(std::distance(range.first, range.second));
}

// Feeds `input` to `parser` and removes the consumed bytes. Returns true if the
// parser needs more.
template <typename Parser>
bool ParseInput(Parser* parser, std::string* input, error_code* error) {
  size_t used = 0;
  while (used < input->size() && !parser->is_done()) {
    const size_t step = parser->put(
        asio::buffer(input->data() + used, input->size() - used), *error);
    used += step;
    if (*error || step == 0) {
      break;
    }
  }
  input->erase(0, used);
  if (*error == http::error::need_more) {
    *error = {};
  }
  return !*error && !parser->is_done();
}

}  // namespace

class RequestReader::Parser : public http::request_parser<http::string_body> {};

RequestReader::RequestReader(const CallerLimits& limits)
    : parser_(std::make_unique<Parser>()),
      max_header_bytes_(static_cast<size_t>(limits.max_header_bytes.value())) {
  parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes.value()));
  parser_->body_limit(static_cast<uint64_t>(limits.max_body_bytes.value()));
  parser_->eager(true);
}

RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::Fail(int status,
                                         const char* code,
                                         const std::string& message) {
  read_error_ = {.status = status, .code = code, .message = message};
  state_ = State::kError;
  return state_;
}

RequestReader::State RequestReader::Feed(std::string* input) {
  if (state_ == State::kDone || state_ == State::kError) {
    return state_;
  }
  error_code error;
  const bool is_head = !parser_->is_header_done();
  const size_t lines =
      is_head
          ? static_cast<size_t>(std::count(input->begin(), input->end(), '\n'))
          : 0;
  const size_t before = input->size();
  ParseInput(parser_.get(), input, &error);
  if (is_head) {
    // At most the header limit, as the rest of the input is the body.
    head_memory_ +=
        std::min(before - input->size(), max_header_bytes_) +
        std::min(lines, max_header_bytes_ / kMinLineBytes) * kLineMemory;
  }
  if (error == http::error::header_limit) {
    return Fail(431, "headers_too_large", "the request header is too long");
  }
  if (error == http::error::body_limit) {
    return Fail(413, "body_too_large", "the request body is too long");
  }
  if (error) {
    return Fail(400, "bad_request", "the request is malformed");
  }
  if (state_ == State::kHead && parser_->is_header_done() &&
      CheckHead() == State::kError) {
    return state_;
  }
  if (parser_->is_done()) {
    state_ = State::kDone;
  }
  return state_;
}

RequestReader::State RequestReader::CheckHead() {
  const auto& message = parser_->get();
  const int encodings = CountFields(message, http::field::transfer_encoding);
  const int lengths = CountFields(message, http::field::content_length);
  is_http_1_0_ = message.version() < 11;
  const std::string length(message[http::field::content_length]);
  if (encodings > 1 || lengths > 1 || (encodings > 0 && lengths > 0) ||
      !std::all_of(length.begin(), length.end(), &absl::ascii_isdigit) ||
      (encodings > 0 &&
       (is_http_1_0_ ||
        !absl::EqualsIgnoreCase(
            std::string(message[http::field::transfer_encoding]),
            "chunked")))) {
    return Fail(400, "bad_framing", "the request's body length is ambiguous");
  }
  if (CountFields(message, http::field::host) != 1) {
    return Fail(400, "bad_host", "expected exactly one Host header");
  }
  keeps_alive_ = parser_->keep_alive();
  expects_continue_ = absl::EqualsIgnoreCase(
      std::string(message[http::field::expect]), "100-continue");
  state_ = State::kBody;
  return state_;
}

std::optional<uint64_t> RequestReader::length() const {
  const auto length = parser_->content_length();
  return length.has_value() ? std::optional<uint64_t>(*length) : std::nullopt;
}

HttpRequest RequestReader::CopyHead() const {
  const auto& message = parser_->get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  return request;
}

size_t RequestReader::body_size() const {
  return parser_->get().body().size();
}

void RequestReader::ReserveBody(size_t bytes) {
  parser_->get().body().reserve(bytes);
}

HttpRequest RequestReader::Take() {
  HttpRequest request = CopyHead();
  request.body = std::move(parser_->get().body());
  return request;
}

class ResponseReader::Parser : public http::response_parser<http::string_body> {
};

ResponseReader::ResponseReader(bool has_no_body)
    : has_no_body_(has_no_body), parser_(std::make_unique<Parser>()) {
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
  parser_->skip(has_no_body);
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::StoreHead() {
  const auto& message = parser_->get();
  status_ = static_cast<int>(message.result_int());
  headers_ = CopyHeaders(message);
  const auto length = parser_->content_length();
  if (length.has_value()) {
    length_ = *length;
  }
  keeps_alive_ = parser_->keep_alive();
  state_ = State::kBody;
}

ResponseReader::State ResponseReader::Feed(std::string* input) {
  while (state_ == State::kHead || state_ == State::kBody) {
    error_code error;
    ParseInput(parser_.get(), input, &error);
    if (error) {
      read_error_ = error.message();
      state_ = State::kError;
      return state_;
    }
    if (state_ == State::kHead && parser_->is_header_done()) {
      const int status = static_cast<int>(parser_->get().result_int());
      if (!IsAnswerStatus(status)) {
        read_error_ = absl::StrCat("no answer has the status ", status);
        state_ = State::kError;
        return state_;
      }
      if (IsInterimStatus(status)) {
        // An interim response; the final one follows.
        if (++interim_responses_ > kMaxInterimResponses) {
          read_error_ = "too many interim responses";
          state_ = State::kError;
          return state_;
        }
        parser_ = ResponseReader(has_no_body_).parser_;
        continue;
      }
      StoreHead();
    }
    if (parser_->is_done()) {
      state_ = State::kDone;
    }
    return state_;
  }
  return state_;
}

ResponseReader::State ResponseReader::FeedEnd() {
  if (state_ == State::kDone || state_ == State::kError) {
    return state_;
  }
  error_code error;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  }
  if (!parser_->got_some() || error || !parser_->is_done()) {
    read_error_ = "the connection was closed before the end of the response";
    state_ = State::kError;
    return state_;
  }
  state_ = State::kDone;
  return state_;
}

std::string ResponseReader::TakeBody() {
  return std::exchange(parser_->get().body(), std::string());
}

}  // namespace papaya
