#ifndef INCLUDE_WIRE_HTTP_MESSAGE_H_
#define INCLUDE_WIRE_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace papaya {

// The header lines of one HTTP message, in order. Names compare without regard
// to case.
class HttpHeaders {
 public:
  using Line = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Line> lines) : lines_(lines) {}

  // The value of the first line called `name`; null if there is none.
  const std::string* Find(const std::string& name) const;

  // The same, with an empty text for a missing line.
  std::string Get(const std::string& name) const;

  // Replaces all lines called `name` by one.
  void Set(const std::string& name, const std::string& value);

  // Adds a line, whatever stands there.
  void Add(const std::string& name, const std::string& value);

  // Removes all lines called `name`.
  void Remove(const std::string& name);

  const std::vector<Line>& lines() const { return lines_; }

 private:
  std::vector<Line> lines_;
};

// An HTTP request with its body whole.
struct HttpRequest {
  std::string method = "GET";
  // Path and query, as sent.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

// An HTTP response; `body` is empty while only the head is meant.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// True if a server may answer a request with this status. 101 is no answer, as
// no request here asks for another protocol.
bool IsAnswerStatus(int status);

// True for the status of a response that the final one follows.
bool IsInterimStatus(int status);

// A response with a JSON body.
HttpResponse MakeJsonResponse(int status, std::string body);

// The path of `target`, without its query.
std::string PathOfTarget(const std::string& target);

// The value of `name` in the query of `target`; empty if it is not there.
// Values are taken as they stand, without percent-decoding.
std::string QueryValue(const std::string& target, const std::string& name);

}  // namespace papaya

#endif  // INCLUDE_WIRE_HTTP_MESSAGE_H_
