#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/child_process.h"
#include "tests/process_fleet.h"

namespace papaya {
namespace {

using Catch::Contains;
using Words = std::vector<std::string>;

constexpr const char* kSettings = PAPAYA_SOURCE_DIR "/settings/skokan.ini";

struct ProcessResult {
  int code = 0;
  // Standard output and standard error.
  std::string text;
};

ProcessResult RunProcess(const Words& words) {
  ChildProcess process(words, /*with_errors=*/true);
  ProcessResult result;
  result.text = process.ReadRest();
  result.code = process.Wait();
  return result;
}

TEST_CASE("Programs: --help and --version exit with 0, invalid flags with 2",
          "[process]") {
  for (const char* program :
       {"papayad", "papayactl", "papaya_standin", "papaya_load"}) {
    INFO(program);
    const ProcessResult help = RunProcess({program, "--help"});
    CHECK(help.code == 0);
    CHECK_THAT(help.text, Contains("Flags from"));
    CHECK_THAT(help.text, !Contains("-flagfile"));
    const ProcessResult version = RunProcess({program, "--version"});
    CHECK(version.code == 0);
    CHECK_THAT(version.text, Contains("0.1.0"));
    const ProcessResult unknown = RunProcess({program, "--nonsense=1"});
    CHECK(unknown.code == 2);
    CHECK_THAT(unknown.text, Contains("unknown flag --nonsense"));
  }
  const ProcessResult value =
      RunProcess({"papayactl", "--expected=x", "status"});
  CHECK(value.code == 2);
  CHECK_THAT(value.text, Contains("--expected can't be `x`"));
  CHECK(RunProcess({"papayactl", "--token_file"}).code == 2);
  CHECK(RunProcess({"papayad"}).code == 2);
  CHECK(RunProcess({"papayad", "more"}).code == 2);
}

TEST_CASE("papayad: --check_settings lists all errors of a file", "[process]") {
  const ProcessResult valid =
      RunProcess({"papayad", "--check_settings", "--settings", kSettings});
  CHECK(valid.code == 0);
  CHECK(valid.text == absl::StrCat(kSettings, ": good\n"));
  const std::string path = std::filesystem::temp_directory_path() /
                           absl::StrCat("papaya-bad-", getpid(), ".ini");
  std::ofstream(path) << "[router]\nfleet = a b\nnonsense = 1\n"
                         "[store]\naddress = x\n[strange]\n";
  const ProcessResult bad =
      RunProcess({"papayad", "--check_settings", "--settings=" + path});
  std::filesystem::remove(path);
  CHECK(bad.code == 2);
  for (const char* fault :
       {":2: [router] fleet: found `a b`, expected a name",
        ":3: [router] nonsense: found an unknown key, expected one of fleet",
        ":5: [store] address: found `x`, expected IP:PORT", ":6: [strange]",
        ":1: [router] id: found nothing, expected a name"}) {
    CHECK_THAT(bad.text, Contains(path + fault));
  }
  const ProcessResult missing =
      RunProcess({"papayad", "--check_settings", "--settings=" + path});
  CHECK(missing.code == 2);
  CHECK_THAT(missing.text, Contains(path));
}

TEST_CASE("papayactl: exits with the documented codes", "[process]") {
  ProcessFleet fleet;
  fleet.StartRouter("r1");
  const std::string directory = fleet.directory();
  std::ofstream(directory + "/token") << "skokan-operators\n";
  std::ofstream(directory + "/wrong") << "nobody\n";
  std::ofstream(directory + "/note") << "[note]\n"
                                        "traffic_by = 2099-01-01T00:00:00Z\n"
                                        "[pool assistant]\nversion = v2\n";
  std::ofstream(directory + "/bad") << "[note]\nnonsense = 1\n";
  const std::string router = "--router=" + fleet.operator_address("r1");
  const std::string token = "--token_file=" + directory + "/token";
  const std::string note = directory + "/note";
  const std::vector<std::pair<int, Words>> cases = {
      {0, {router, token, "status"}},
      {0, {router, token, "upstreams"}},
      {0, {router, token, "routers"}},
      {0, {router, token, "note", "check", note}},
      {2, {router, token, "note", "check", directory + "/none"}},
      {2, {token, "status"}},
      {3, {router, token, "note", "submit", "n", directory + "/bad"}},
      {0, {router, token, "note", "submit", "n", note}},
      {4, {router, token, "note", "submit", "n", note}},
      {9, {router, token, "--watch_seconds=0.5", "note", "watch", "n"}},
      {0, {router, token, "note", "withdraw", "n"}},
      {5, {router, token, "--watch_seconds=60", "note", "watch", "n"}},
      {0, {router, token, "note", "list"}},
      {6, {"--router=127.0.0.1:1", token, "status"}},
      {7, {router, token, "note", "show", "none"}},
      {8, {router, "--token_file=" + directory + "/wrong", "status"}},
  };
  for (const auto& [code, arguments] : cases) {
    Words words = {"papayactl"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    const ProcessResult result = RunProcess(words);
    INFO(words.back() << ": " << result.text);
    CHECK(result.code == code);
  }
  fleet.SetFaults("platform", R"({"outage":true})");
  const ProcessResult failed =
      RunProcess({"papayactl", router, token, "note", "submit", "m", note});
  INFO(failed.text);
  CHECK(failed.code == 1);
}

}  // namespace
}  // namespace papaya
