#include "src/gateway/message_reader.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "include/base/random.h"

namespace papaya {
namespace {

using RequestState = RequestReader::State;
using ResponseState = ResponseReader::State;

// Feeds `text` to `reader` in pieces of random sizes.
template <typename Reader>
void FeedInPieces(const std::string& text, uint64_t seed, Reader* reader) {
  Random random(seed);
  std::string input;
  size_t at = 0;
  while (at < text.size()) {
    const size_t step = 1 + random.Below(7);
    input += text.substr(at, step);
    at += step;
    reader->Feed(&input);
  }
}

TEST_CASE("RequestReader: rejects requests with ambiguous framing or host",
          "[gateway]") {
  // `lines` are the header lines after the request line.
  struct Case {
    std::string version;
    std::string lines;
    std::string body;
  };
  const std::vector<Case> cases = {
      // Content-Length together with Transfer-Encoding.
      {"1.1", "Host: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
       "0\r\n\r\n"},
      {"1.1", "Host: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4",
       "0\r\n\r\n"},
      {"1.1", "Host: h\r\nContent-Length: 4\r\nContent-Length: 5", "abcde"},
      {"1.1", "Host: h\r\nContent-Length: 4\r\nContent-Length: 4", "abcd"},
      {"1.1", "Host: h\r\nContent-Length: +4", "abcd"},
      {"1.1", "Host: h\r\nContent-Length: 4,4", "abcd"},
      {"1.1", "Host: h\r\nTransfer-Encoding: identity, chunked", "0\r\n\r\n"},
      {"1.1", "Host: h\r\nTransfer-Encoding: xchunked", ""},
      {"1.1", "Host: h\r\nTransfer-Encoding : chunked", ""},
      {"1.0", "Host: h\r\nTransfer-Encoding: chunked", "0\r\n\r\n"},
      // An invalid chunk size.
      {"1.1", "Host: h\r\nTransfer-Encoding: chunked", "-1\r\n\r\n"},
      // No Host header, or two.
      {"1.1", "X: y", ""},
      {"1.1", "Host: h\r\nHost: i", ""},
  };
  for (const Case& test_case : cases) {
    const std::string text = "POST /a/ HTTP/" + test_case.version + "\r\n" +
                             test_case.lines + "\r\n\r\n" + test_case.body;
    INFO(text);
    RequestReader reader{CallerLimits()};
    std::string input = text;
    CHECK(reader.Feed(&input) == RequestState::kError);
    CHECK(reader.read_error().status == 400);
  }
}

TEST_CASE(
    "RequestReader: reads bodies with a length and in chunks from pieces "
    "of any size",
    "[gateway]") {
  rc::prop("any cut gives the same request", [](uint64_t seed) {
    RequestReader plain{CallerLimits()};
    FeedInPieces(
        "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
        seed, &plain);
    const HttpRequest request = plain.Take();
    RC_ASSERT(request.target == "/a/b?c=1");
    RC_ASSERT(request.body == "hello");

    RequestReader chunked{CallerLimits()};
    FeedInPieces(
        "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
        seed, &chunked);
    RC_ASSERT(chunked.Take().body == "hello");
  });
}

TEST_CASE("RequestReader: does not consume the next request", "[gateway]") {
  RequestReader reader{CallerLimits()};
  std::string input =
      "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(reader.Feed(&input) == RequestState::kDone);
  CHECK(input.starts_with("GET /b/"));
}

TEST_CASE("RequestReader: enforces the size limits", "[gateway]") {
  CallerLimits limits;
  limits.max_header_bytes = Bytes(100);
  limits.max_body_bytes = Bytes(10);
  RequestReader long_header(limits);
  std::string input =
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n";
  CHECK(long_header.Feed(&input) == RequestState::kError);
  CHECK(long_header.read_error().status == 431);
  RequestReader long_body(limits);
  input = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
  CHECK(long_body.Feed(&input) == RequestState::kError);
  CHECK(long_body.read_error().status == 413);
}

TEST_CASE("ResponseReader: detects incomplete responses", "[gateway]") {
  struct Case {
    std::string text;
    ResponseState at_end;
    std::string body;
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ResponseState::kDone,
       "ab"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", ResponseState::kError,
       "ab"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
       "0\r\n\r\n",
       ResponseState::kDone, "ab"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       ResponseState::kError, "ab"},
      // Without a length, the response ends with the connection.
      {"HTTP/1.1 200 OK\r\n\r\nab", ResponseState::kDone, "ab"},
      {"HTTP/1.1 204 No Content\r\n\r\n", ResponseState::kDone, ""},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
       "1\r\n\r\na",
       ResponseState::kDone, "a"},
      {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 599 X\r\n"
       "Content-Length: 1\r\n\r\na",
       ResponseState::kDone, "a"},
      // Statuses that are no answers of the protocol, or that switch to another
      // one.
      {"HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\na", ResponseState::kError,
       ""},
      {"HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       ResponseState::kError, ""},
      {"HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       ResponseState::kError, ""},
      {"HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\na", ResponseState::kError,
       ""},
      {"", ResponseState::kError, ""},
      {"nonsense\r\n\r\n", ResponseState::kError, ""},
  };
  for (const Case& test_case : cases) {
    for (uint64_t seed = 0; seed < 20; ++seed) {
      INFO(test_case.text);
      ResponseReader reader(/*has_no_body=*/false);
      FeedInPieces(test_case.text, seed, &reader);
      CHECK(reader.FeedEnd() == test_case.at_end);
      if (!test_case.body.empty()) {
        CHECK(reader.TakeBody() == test_case.body);
      }
    }
  }
}

TEST_CASE("Message readers: random bytes cause no crash", "[gateway]") {
  const std::string alphabet = "GETPOST /HTTP1.:\r\n0123chunkedlength\x01\xff;";
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    Random random(seed);
    std::string text;
    const uint64_t size = random.Below(200);
    for (uint64_t i = 0; i < size; ++i) {
      text += alphabet[random.Below(alphabet.size())];
    }
    RequestReader request{CallerLimits()};
    FeedInPieces(text, seed, &request);
    ResponseReader response(/*has_no_body=*/false);
    FeedInPieces("HTTP/1.1 200 OK\r\n" + text, seed, &response);
    response.FeedEnd();
  }
  SUCCEED("neither crashed");
}

}  // namespace
}  // namespace papaya
