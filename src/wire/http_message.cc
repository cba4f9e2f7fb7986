#include "include/wire/http_message.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace papaya {

const std::string* HttpHeaders::Find(const std::string& name) const {
  const auto found =
      std::find_if(lines_.begin(), lines_.end(), [&name](const Line& line) {
        return absl::EqualsIgnoreCase(line.first, name);
      });
  return found == lines_.end() ? nullptr : &found->second;
}

std::string HttpHeaders::Get(const std::string& name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

void HttpHeaders::Set(const std::string& name, const std::string& value) {
  Remove(name);
  Add(name, value);
}

void HttpHeaders::Add(const std::string& name, const std::string& value) {
  lines_.emplace_back(name, value);
}

void HttpHeaders::Remove(const std::string& name) {
  std::erase_if(lines_, [&name](const Line& line) {
    return absl::EqualsIgnoreCase(line.first, name);
  });
}

bool IsAnswerStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

bool IsInterimStatus(int status) {
  constexpr int kFirstFinal = 200;
  return status < kFirstFinal;
}

HttpResponse MakeJsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

std::string PathOfTarget(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  const std::string text = target.substr(query + 1);
  const std::vector<std::string> parts = absl::StrSplit(text, '&');
  for (const std::string& part : parts) {
    const size_t equals = part.find('=');
    if (equals != std::string::npos && part.substr(0, equals) == name) {
      return part.substr(equals + 1);
    }
  }
  return "";
}

}  // namespace papaya
