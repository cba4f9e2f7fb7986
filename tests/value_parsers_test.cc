#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/settings/value_parsers.h"

namespace papaya {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("ParseDuration: needs a positive number and a known unit",
          "[settings]") {
  CHECK(ParseDuration("250ms") == Duration(milliseconds(250)));
  CHECK(ParseDuration("10s") == Duration(seconds(10)));
  CHECK(ParseDuration("5m") == Duration(seconds(300)));
  CHECK(ParseDuration("1000h") == Duration(hours(1000)));
  for (const char* text : {"", "10", "s", "0s", "-1s", "1.5s", "10 s", "1001h",
                           "99999999999999999999ms", "1d", "10sec"}) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text));
  }
}

TEST_CASE("ParseBool: takes the words of settings and of notes", "[settings]") {
  CHECK(ParseBool("true") == true);
  CHECK(ParseBool("yes") == true);
  CHECK(ParseBool("false") == false);
  CHECK(ParseBool("no") == false);
  for (const char* text : {"", "1", "Yes", "TRUE", "on", " yes"}) {
    INFO(text);
    CHECK_FALSE(ParseBool(text));
  }
}

TEST_CASE("ParseBytes: takes a plain number or a binary unit", "[settings]") {
  CHECK(ParseBytes("4096") == Bytes(4096));
  CHECK(ParseBytes("16KiB") == Bytes(16 * 1024));
  CHECK(ParseBytes("4MiB") == Bytes(4 << 20));
  for (const char* text : {"", "0", "4MB", "KiB", "-4KiB", "1025GiB", "1e3"}) {
    INFO(text);
    CHECK_FALSE(ParseBytes(text));
  }
}

TEST_CASE("IsIpAddressAndPort: takes IP numbers and no names", "[settings]") {
  for (const char* text : {"127.0.0.1:0", "10.0.3.7:65535", "[::1]:80"}) {
    INFO(text);
    CHECK(IsIpAddressAndPort(text, PortZero::kAllowed));
  }
  CHECK_FALSE(IsIpAddressAndPort("127.0.0.1:0", PortZero::kRefused));
  for (const char* text :
       {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
        "1.2.3:4", "::1:80", "[::1]", "127.0.0.1:+1", "256.0.0.1:1"}) {
    INFO(text);
    CHECK_FALSE(IsIpAddressAndPort(text, PortZero::kAllowed));
  }
}

TEST_CASE("SplitList: keeps empty parts, so that callers can refuse them",
          "[settings]") {
  CHECK(SplitList("").empty());
  CHECK(SplitList(" a , b") == std::vector<std::string>{"a", "b"});
  CHECK(SplitList("a,,b") == std::vector<std::string>{"a", "", "b"});
}

TEST_CASE("ParseDuration: reads back what was written in milliseconds",
          "[settings]") {
  rc::prop("round trip", [] {
    const int64_t ms = *rc::gen::inRange<int64_t>(1, 3'600'000'000);
    RC_ASSERT(ParseDuration(std::to_string(ms) + "ms") ==
              Duration(milliseconds(ms)));
  });
}

}  // namespace
}  // namespace papaya
