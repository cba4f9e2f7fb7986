#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "include/base/text_file.h"
#include "include/settings/router_settings.h"

namespace papaya {
namespace {

constexpr const char* kDigestA =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
constexpr const char* kDigestB =
    "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";
constexpr const char* kDigestC =
    "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc";

std::string GoodText() {
  return absl::StrCat(
      "[router]\nfleet = f\nid = r1\nregion = sk\nzone = a\n"
      "caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:7001\n"
      "operator_address = 127.0.0.1:0\nseeds = 127.0.0.1:7002, [::1]:7003\n"
      "fleet_secret = 0123456789abcdef\noperator_token_sha256 = ",
      kDigestC,
      "\nchart_directory = charts\n"
      "[store]\naddress = 127.0.0.1:7100\nprefix = papaya/test\n"
      "[limits]\nmax_body_bytes = 1MiB\n"
      "[account big]\ntoken_sha256 = ",
      kDigestA,
      "\nweight = 4\nroutes = chat, book\n"
      "[account small]\ntoken_sha256 = ",
      kDigestB,
      "\n[route book]\npath = /svc/booking/hires\npool = booking\n"
      "tier = critical\nidempotent = false\ndeadline = 10s\n"
      "[route report]\npath = /v1/chat/completions\nby_header = true\n"
      "tier = standard\nattempt_timeout = 10m\n"
      "[route chat]\npath = /v1/chat/completions\ntier = interactive\n");
}

// The text of the error that parsing gives; empty if there is none.
std::string FaultsOf(const std::string& text) {
  return std::string(ParseRouterSettings(text, "r.ini").status().message());
}

TEST_CASE("RouterSettings: reads every part", "[settings]") {
  const absl::StatusOr<RouterSettings> parsed =
      ParseRouterSettings(GoodText(), "r.ini");
  REQUIRE(parsed.ok());
  CHECK(parsed->router == RouterId("r1"));
  CHECK(parsed->zone == AvailabilityZoneId("a"));
  CHECK(parsed->seeds ==
        std::vector<std::string>{"127.0.0.1:7002", "[::1]:7003"});
  CHECK(parsed->store_prefix == "papaya/test");
  CHECK(parsed->limits.max_body_bytes == Bytes(1 << 20));
  REQUIRE(parsed->accounts.size() == 2);
  CHECK(parsed->accounts[0].weight == 4);
  CHECK(parsed->accounts[0].routes ==
        std::vector<RouteId>{RouteId("chat"), RouteId("book")});
  REQUIRE(parsed->routes.size() == 3);
  CHECK(parsed->routes[0].id == RouteId("book"));
  CHECK_FALSE(parsed->routes[0].idempotent);
  CHECK(parsed->routes[0].deadline == std::chrono::seconds(10));
  CHECK(parsed->routes[1].by_header);
  CHECK(parsed->routes[1].attempt_timeout == std::chrono::minutes(10));
  CHECK(parsed->routes[2].tier == Tier::kInteractive);
}

// One change to good settings and what the fault must say of it.
struct FaultCase {
  std::string found;
  std::string replacement;
  std::string fault;
};

TEST_CASE("RouterSettings: a fault of each kind names line, section and key",
          "[settings]") {
  const std::vector<FaultCase> cases = {
      {"fleet = f", "fleet = a b",
       "r.ini:2: [router] fleet: found `a b`, expected a name"},
      {"id = r1\n", "", "r.ini:1: [router] id: found nothing, expected a name"},
      {"zone = a", "zoen = a",
       "r.ini:5: [router] zoen: found an unknown key, expected one of fleet"},
      {"caller_address = 127.0.0.1:0", "caller_address = localhost:1",
       "r.ini:6: [router] caller_address: found `localhost:1`, expected "
       "IP:PORT"},
      {"operator_address = 127.0.0.1:0", "operator_address = 127.0.0.1:7001",
       "r.ini:8: [router] operator_address: found `127.0.0.1:7001`, expected "
       "an address other than peer_address"},
      {"[::1]:7003", "[::1]:0",
       "[router] seeds: found `127.0.0.1:7002, "
       "[::1]:0`, expected a list of IP:PORT"},
      {"0123456789abcdef", "short",
       "[router] fleet_secret: found `short`, expected a secret"},
      {"chart_directory = charts", "chart_directory = ",
       "[router] chart_directory: found ``, expected the directory"},
      {"[store]", "[sotre]", "[sotre]: found an unknown section, expected"},
      {"[store]", "[sotre]", "r.ini:1: found no section [store]"},
      {"papaya/test", "/papaya", "[store] prefix: found `/papaya`"},
      {"max_body_bytes = 1MiB", "max_body_bytes = 1MB",
       "[limits] max_body_bytes: found `1MB`, expected a positive size"},
      {"max_body_bytes = 1MiB", "max_body_bytes = 1GiB",
       "[limits] max_body_bytes: found `1GiB`, expected max_queued_bytes to "
       "be no less"},
      {"[account big]", "[rollout]\nload_time = 5\n[account big]",
       "[rollout] load_time: found `5`, expected a positive time"},
      {"[account big]", "[rollout]\nconcurrent_loads = 0\n[account big]",
       "[rollout] concurrent_loads: found `0`, expected a whole number"},
      {"[account big]", "[account]", "[account]: found the name ``, expected"},
      {"weight = 4", "weight = 0", "[account big] weight: found `0`"},
      {"routes = chat, book", "routes = chat, bok",
       "[account big] routes: found `chat, bok`, expected routes that have a "
       "section, unlike `bok`"},
      {kDigestB, kDigestA,
       "[account small] token_sha256: found `aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
       "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa`, expected a token other than that "
       "of [account big]"},
      {kDigestB, kDigestC, "expected a token other than the operators' token"},
      {kDigestB, "ABC",
       "[account small] token_sha256: found `ABC`, expected the SHA-256"},
      {"deadline = 10s", "deadline = 10",
       "[route book] deadline: found `10`, expected a positive time"},
      {"deadline = 10s\n", "",
       "[route book] deadline: found nothing, expected a deadline, as the "
       "route is not idempotent"},
      {"pool = booking\n", "",
       "[route book] pool: found nothing, expected a pool"},
      {"idempotent = false", "idempotent = maybe",
       "r.ini:28: [route book] idempotent: found `maybe`, expected one of "
       "true, yes, false and no"},
      {"by_header = true", "by_header = True",
       "r.ini:32: [route report] by_header: found `True`, expected one of "
       "true, yes, false and no"},
      {"tier = critical", "tier = gold",
       "[route book] tier: found `gold`, expected one of critical"},
      {"by_header = true\n", "",
       "[route chat] path: found `/v1/chat/completions`, expected a path that "
       "[route report] before it does not take whole"},
      {"tier = interactive",
       "tier = interactive\nidempotent = false\n"
       "deadline = 1s",
       "[route chat] idempotent: found `false`, expected true or yes, as "
       "/v1/chat/completions may be tried again"},
      {"path = /svc/booking/hires", "path = /svc/*/hires",
       "[route book] path: found `/svc/*/hires`, expected a path"},
      {"path = /svc/booking/hires", "path = /svc/booking/hires\nmethod = post",
       "[route book] method: found `post`, expected one of GET"},
      {"zone = a", "zone = a\nzone = b", "r.ini:6: key `zone` stands twice"},
  };
  for (const FaultCase& fault_case : cases) {
    const std::string text = absl::StrReplaceAll(
        GoodText(), {{fault_case.found, fault_case.replacement}});
    INFO(fault_case.replacement << "\n" << FaultsOf(text));
    CHECK(FaultsOf(text).find(fault_case.fault) != std::string::npos);
  }
}

TEST_CASE("RouterSettings: all faults come in one go, in file order",
          "[settings]") {
  const std::string text =
      absl::StrReplaceAll(GoodText(), {{"fleet = f", "fleet = -"},
                                       {"weight = 4", "weight = x"},
                                       {"tier = interactive", "tier = x"}});
  const std::string faults = FaultsOf(text);
  INFO(faults);
  const size_t fleet = faults.find("[router] fleet");
  const size_t weight = faults.find("[account big] weight");
  const size_t tier = faults.find("[route chat] tier");
  REQUIRE(tier != std::string::npos);
  CHECK(fleet < weight);
  CHECK(weight < tier);
}

TEST_CASE("RouterSettings: an empty file lacks all that must stand",
          "[settings]") {
  const std::string faults = FaultsOf("");
  for (const char* part : {"section [router]", "section [store]",
                           "no [account NAME]", "no [route NAME]"}) {
    INFO(part);
    CHECK(faults.find(part) != std::string::npos);
  }
}

TEST_CASE("RouterSettings: the deployments' files are good", "[settings]") {
  for (const char* name : {"skokan.ini", "wadi_rum.ini"}) {
    const absl::StatusOr<RouterSettings> parsed =
        LoadRouterSettings(absl::StrCat(PAPAYA_SOURCE_DIR, "/settings/", name));
    INFO(parsed.status());
    REQUIRE(parsed.ok());
    CHECK(parsed->accounts.size() == 5);
    CHECK(parsed->routes.size() == 5);
    CHECK(parsed->routes.front().tier == Tier::kCritical);
    CHECK_FALSE(parsed->routes.front().idempotent);
  }
  CHECK(absl::IsNotFound(LoadRouterSettings("/nonexistent.ini").status()));
}

// Texts that once were, or might be, hard for the reader.
const std::vector<std::string>& FuzzCorpus() {
  static const std::vector<std::string>& corpus = *new std::vector<std::string>{
      "",
      "[",
      "[]",
      "=",
      "\\",
      "[router]\\\n=",
      "[router]\nid",
      "[account ]\ntoken_sha256 = x",
      "[account  a]\n[account a]\n",
      "[route a]\npath = *\n[route b]\npath = /\n",
      "[route a]\n[route a]\npath=/x*\n",
      std::string("[router]\nid = \0x\n", 17),
      "\xff\xfe[router]\n",
      "[limits]\nmax_connections = 99999999999999999999\n",
  };
  return corpus;
}

TEST_CASE("RouterSettings: any text gives settings or faults with lines",
          "[settings][fuzz]") {
  for (const std::string& text : FuzzCorpus()) {
    INFO(text);
    CHECK(FaultsOf(text).find("r.ini:") != std::string::npos);
  }
  rc::prop("arbitrary text", [](const std::string& text) {
    RC_ASSERT(FaultsOf(text).find("r.ini:") != std::string::npos);
  });
  rc::prop("good settings with a part cut, doubled or overwritten", [] {
    std::string text = GoodText();
    const size_t at = *rc::gen::inRange<size_t>(0, text.size());
    const size_t length = *rc::gen::inRange<size_t>(0, 64);
    const std::string part = text.substr(at, length);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, part);
        break;
      default:
        text.replace(at, part.size(), *rc::gen::arbitrary<std::string>());
    }
    const absl::StatusOr<RouterSettings> parsed =
        ParseRouterSettings(text, "r.ini");
    if (!parsed.ok()) {
      RC_ASSERT(std::string(parsed.status().message()).find("r.ini:") !=
                std::string::npos);
      return;
    }
    RC_ASSERT(!parsed->routes.empty());
    for (const RouteSettings& route : parsed->routes) {
      RC_ASSERT(route.deadline > Duration::zero());
    }
  });
}

}  // namespace
}  // namespace papaya
