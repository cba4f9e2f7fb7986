#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/ini_document.h"

namespace papaya {
namespace {

TEST_CASE("IniDocument: keeps sections, values and lines", "[base]") {
  const IniDocument document = IniDocument::Parse(
      "; head\n[route chat]\npath = /v1/chat\n\n[router]\nid = a \n");
  REQUIRE(document.faults().empty());
  const IniSection* route = document.Find("route chat");
  REQUIRE(route != nullptr);
  CHECK(route->Kind() == "route");
  CHECK(route->Label() == "chat");
  CHECK(route->Find("path")->value == "/v1/chat");
  CHECK(route->Find("path")->line == 3);
  CHECK(document.Find("router")->Find("id")->value == "a");
}

TEST_CASE("IniDocument: a value goes on over lines that end in a backslash",
          "[base]") {
  const IniDocument document =
      IniDocument::Parse("[a]\nseeds = one, \\\n  two\nlast = 3\n");
  CHECK(document.Find("a")->Find("seeds")->value == "one, two");
  CHECK(document.Find("a")->Find("last")->line == 4);
}

TEST_CASE("IniDocument: reports every fault with its line", "[base]") {
  const IniDocument document = IniDocument::Parse(
      "early = 1\n[a]\nnonsense\nk = 1\nk = 2\n[a]\nz = 1\n[\n");
  const std::vector<TextFault> expected = {
      {1, "key `early` stands before any section"},
      {3, "expected `key = value`"},
      {5, "key `k` stands twice in [a]"},
      {6, "section [a] stands twice"},
      {8, "a section needs a name in square brackets"},
  };
  CHECK(document.faults() == expected);
  CHECK(document.Find("a")->Find("z") == nullptr);
}

TEST_CASE("IniDocument: any bytes parse without a crash", "[base][fuzz]") {
  rc::prop("arbitrary text", [](const std::string& text) {
    const IniDocument document = IniDocument::Parse(text);
    for (const IniSection& section : document.sections()) {
      RC_ASSERT(section.line >= 1);
    }
  });
}

}  // namespace
}  // namespace papaya
