#include "include/standin/answer_check.h"

#include <boost/json.hpp>

#include "include/standin/answer_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

// The text `choices[0].<part>.content` of an answer; empty if it has none.
std::string ContentOf(const std::string& body, const char* part) {
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

AnswerCheck::AnswerCheck(const std::string& prompt, Tokens max_tokens)
    : prompt_(prompt), max_tokens_(max_tokens) {}

void AnswerCheck::OnEvent(const SseEvent& event) {
  if (IsStreamEnd(event)) {
    is_wrong_ = is_wrong_ || is_ended_ || next_ != max_tokens_.value();
    is_ended_ = true;
    return;
  }
  const bool is_right =
      !is_ended_ && event.index == next_ && next_ < max_tokens_.value() &&
      ContentOf(event.data, "delta") == AnswerToken(prompt_, next_);
  if (!is_right) {
    is_wrong_ = true;
    return;
  }
  ++next_;
}

bool AnswerCheck::IsWholeAnswer(const std::string& body,
                                const std::string& prompt,
                                Tokens max_tokens) {
  return ContentOf(body, "message") == AnswerText(prompt, max_tokens);
}

}  // namespace papaya
