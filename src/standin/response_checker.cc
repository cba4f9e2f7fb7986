#include "include/standin/response_checker.h"

#include <boost/json.hpp>

#include "include/standin/response_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

// Returns the string `choices[0].<part>.content` of a response body, or an
// empty string if there is none.
std::string ExtractContent(const std::string& body, const char* part) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error) {
    return "";
  }
  const std::string path = std::string("/choices/0/") + part + "/content";
  const json::value* content = parsed.find_pointer(path, error);
  if (content == nullptr || !content->is_string()) {
    return "";
  }
  return std::string(content->as_string());
}

}  // namespace

ResponseChecker::ResponseChecker(const std::string& prompt, Tokens max_tokens)
    : prompt_(prompt), max_tokens_(max_tokens) {}

void ResponseChecker::OnEvent(const SseEvent& event) {
  if (IsStreamEnd(event)) {
    is_invalid_ = is_invalid_ || is_ended_ || next_ != max_tokens_.value();
    is_ended_ = true;
    return;
  }
  const bool is_expected =
      !is_ended_ && event.index == next_ && next_ < max_tokens_.value() &&
      ExtractContent(event.data, "delta") == ResponseToken(prompt_, next_);
  if (!is_expected) {
    is_invalid_ = true;
    return;
  }
  ++next_;
}

bool ResponseChecker::IsCompleteResponse(const std::string& body,
                                         const std::string& prompt,
                                         Tokens max_tokens) {
  return ExtractContent(body, "message") == ResponseText(prompt, max_tokens);
}

}  // namespace papaya
