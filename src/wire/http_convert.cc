#include "src/wire/http_convert.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"

namespace papaya {

namespace {

namespace http = boost::beast::http;

// RFC 9110, 7.6.1, and the length, which is worked out anew.
constexpr std::array<const char*, 8> kConnectionHeaders = {
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"};

bool BelongsToConnection(const std::string& name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [&name](const char* header) {
                       return absl::EqualsIgnoreCase(name, header);
                     });
}

}  // namespace

HttpHeaders FromBeast(const http::fields& fields) {
  HttpHeaders headers;
  for (const http::fields::value_type& field : fields) {
    const std::string name(field.name_string());
    if (!BelongsToConnection(name)) {
      headers.Add(name, std::string(field.value()));
    }
  }
  return headers;
}

void AddToBeast(const HttpHeaders& headers, http::fields& fields) {
  for (const HttpHeaders::Line& line : headers.lines()) {
    if (!BelongsToConnection(line.first)) {
      fields.insert(line.first, line.second);
    }
  }
}

http::request<http::string_body> ToBeast(const HttpRequest& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(kHttp11);
  AddToBeast(request.headers, message);
  message.body() = request.body;
  return message;
}

}  // namespace papaya
