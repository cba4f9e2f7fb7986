#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/header_codec.h"
#include "platform/object_codec.h"
#include "platform/settings_reader.h"

namespace papaya::platform {
namespace {

PlatformObject MakeObject(const std::string& name, const std::string& spec) {
  PlatformObject object;
  object.name = name;
  object.spec = boost::json::parse(spec);
  return object;
}

bool Mentions(const absl::Status& status, const std::string& text) {
  return std::string(status.message()).find(text) != std::string::npos;
}

TEST_CASE("Platform: decodes a manifest", "[platform]") {
  const absl::StatusOr<GatewayConfig> config =
      DecodeManifest(MakeObject("main",
                                R"({"version":7,"routes":[
        {"name":"r1","host":"A.example","path_prefix":"/a/","kind":"streaming",
         "timeout_ms":12000,"target_latency_ms":250,"priority":1,
         "service":"llm","max_attempts":2,"can_resume":true,"gap_aim_ms":200},
        {"name":"r2","host":"a.example","path_prefix":"/b/",
         "kind":"non_idempotent","traffic_split":[
           {"service":"x","weight":90},{"service":"y","weight":10}]}],
        "services":[{"name":"llm","max_conns":360,
                     "engine":{"slots":11,"stride":6}},{"name":"x"}],
        "limits":{"idle_timeout_ms":15000},
        "tenants":[{"name":"t","api_keys":["k"],"unit":"token_stream",
                    "rate_per_s":100,"burst":50,"plain_tokens":200}]})"));
  REQUIRE(config.ok());
  CHECK(config->version == Revision(7));
  const ServiceRoute& stream = config->routes[0];
  CHECK(stream.host == "a.example");
  CHECK(stream.MayRepeat());
  CHECK(stream.caller_silence_timeout == std::chrono::seconds(2));
  CHECK_FALSE(config->routes[1].MayRepeat());
  CHECK(config->routes[1].services.size() == 2);
  CHECK(config->services[0].tokens_per_event == Tokens(6));
  CHECK_FALSE(config->services[1].is_engine);
  CHECK(config->limits.idle_timeout == std::chrono::seconds(15));
  CHECK(config->accounts[0].counts_tokens);
}

TEST_CASE("Platform: tells an empty list of accounts from none", "[platform]") {
  const auto needs_keys = [](const std::string& tenants) {
    const absl::StatusOr<GatewayConfig> config = DecodeManifest(
        MakeObject("main", "{\"version\":7,\"routes\":[]" + tenants + "}"));
    REQUIRE(config.ok());
    return config->NeedsKeys();
  };
  CHECK(needs_keys(",\"tenants\":[]"));
  CHECK(needs_keys(R"(,"tenants":[{"name":"t","api_keys":[]}])"));
  CHECK_FALSE(needs_keys(""));
}

TEST_CASE("Platform: an error in a manifest names the field", "[platform]") {
  const absl::StatusOr<GatewayConfig> config = DecodeManifest(
      MakeObject("main", R"({"version":7,"routes":[{"name":"r","host":"h",
        "path_prefix":"/","kind":"maybe","service":"s"}]})"));
  REQUIRE_FALSE(config.ok());
  CHECK(Mentions(config.status(), "main.routes.0.kind"));
}

TEST_CASE("Platform: decodes upstreams and rejects invalid ones",
          "[platform]") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
          "slots":4,"state":"draining","born":17})";
  const absl::StatusOr<UpstreamRecord> record =
      DecodeUpstream(MakeObject("i-1", good));
  REQUIRE(record.ok());
  CHECK(record->id == UpstreamId("i-1#17"));
  CHECK(record->is_draining);
  for (const std::string bad :
       {R"("text")", R"({})", R"({"service":5})",
        R"({"service":"s","address":"a","zone":"z","version":"v","slots":0,
            "state":"ready"})",
        R"({"service":"s","address":"a","zone":"z","version":"v","slots":1,
            "state":"asleep"})"}) {
    INFO(bad);
    CHECK_FALSE(DecodeUpstream(MakeObject("i-1", bad)).ok());
  }
}

TEST_CASE("Platform: parses settings, ignores unknown keys, reports errors",
          "[platform]") {
  const std::string good =
      R"({"node_name":"n","zone":"z","region":"r","ip":"10.0.0.1","new":1,
          "listen":{"frontend":"10.0.0.1:1","ready":"10.0.0.1:2",
                    "control":"10.0.0.1:3"},
          "seeds":["10.0.0.2:3"],"limits":{"max_fds":4100},"bootstrap":true,
          "bounds":{"grace_s":8,"quota_slack":140000},
          "platform":{"address":"10.9.0.1:9"}})";
  const absl::StatusOr<GatewaySettings> settings =
      ParseSettings(good, "settings.json");
  REQUIRE(settings.ok());
  CHECK(settings->peer_address == "10.0.0.1:3");
  CHECK(settings->bounds.grace == std::chrono::seconds(8));
  CHECK(settings->bounds.quotas.slack == 140000.0);
  CHECK(settings->is_first_start);
  const absl::StatusOr<GatewaySettings> bad =
      ParseSettings(R"({"node_name":5})", "settings.json");
  REQUIRE_FALSE(bad.ok());
  CHECK(Mentions(bad.status(), "settings.json.node_name"));
  CHECK_FALSE(ParseSettings("{", "settings.json").ok());
}

// An invalid memory limit must not keep a router from starting.
TEST_CASE("Platform: reads the memory limit, ignores an invalid one",
          "[platform][memory]") {
  const auto parse = [](const std::string& limit) {
    const absl::StatusOr<GatewaySettings> settings = ParseSettings(
        absl::StrCat(
            R"({"node_name":"n","zone":"z","region":"r","ip":"10.0.0.1",
                "listen":{"frontend":"10.0.0.1:1","ready":"10.0.0.1:2"},
                "limits":{)",
            limit, R"(},"bounds":{},"platform":{"address":"10.9.0.1:9"}})"),
        "settings.json");
    REQUIRE(settings.ok());
    return *settings;
  };
  CHECK(parse(R"("memory_mb":88)").memory_limit == Bytes(88 * 1024 * 1024));
  CHECK(parse("").memory_limit == Bytes(0));
  CHECK(parse("").memory_limit_error.empty());
  for (const char* bad : {"-1", "0", "31", "1e300", "99999999999999999999",
                          "\"88\"", "[]", "true"}) {
    INFO(bad);
    const GatewaySettings settings = parse(absl::StrCat("\"memory_mb\":", bad));
    CHECK(settings.memory_limit == Bytes(0));
    CHECK(settings.memory_limit_error.find("limits.memory_mb: found ") !=
          std::string::npos);
    CHECK(settings.memory_limit_error.find("from 32 to 1048576") !=
          std::string::npos);
  }
}

TEST_CASE("Platform: parses headers of callers and upstreams", "[platform]") {
  const HeaderCodec header_codec = MakeHeaderCodec();
  const CallerMetadata caller = header_codec.read_caller(
      {{"authorization", "token k1"},
       {"papayaarch-deadline-ms", "1500"},
       {"Papayaarch-Token-Usage", "1460,80"},
       {"Papayaarch-Length-Hint", "40"},
       {"Papayaarch-Prompt-Prefix", "1f:60,bad,2a:1400"}});
  CHECK(caller.api_key == "k1");
  CHECK(caller.time_limit == std::chrono::milliseconds(1500));
  CHECK(caller.prompt_tokens == Tokens(1460));
  CHECK(caller.expected_output == Tokens(40));
  REQUIRE(caller.prompt_parts.size() == 2);
  CHECK(caller.prompt_parts[0].hash == 0x1f);
  CHECK(header_codec.is_reserved("AUTHORIZATION"));
  CHECK(header_codec.is_reserved("Kv-From"));
  CHECK_FALSE(header_codec.is_reserved("Papayaarch-Model"));
  const ResponseMetadata response = header_codec.read_response(
      200, {{"Keep-Alive", "timeout=5, max=9"}, {"Connection", "x, Close"}});
  CHECK(response.closes);
  CHECK(response.idle_timeout == std::chrono::seconds(5));
  CHECK(header_codec.read_response(421, {}).is_other_instance);
  CHECK(header_codec.read_response(503, {{"Papayaarch-Not-Executed", "1"}})
            .is_not_run);
}

TEST_CASE("Platform: tells prompt parts of any length apart", "[platform]") {
  const HeaderCodec header_codec = MakeHeaderCodec();
  const auto read = [&header_codec](const std::string& value) {
    return header_codec.read_caller({{"Papayaarch-Prompt-Prefix", value}})
        .prompt_parts;
  };
  const std::string tail = "8f5a1c9be07d4632";
  const std::vector<PromptPart> parts =
      read("c41f" + tail + ":1,0b6e" + tail + ":2, " + tail + ":3,c41F" +
           "8F5A1C9BE07D4632:4,000" + tail + ":5,zz" + tail + ":6,:7,0x1f:8");
  REQUIRE(parts.size() == 5);
  CHECK(parts[0].hash != parts[1].hash);
  CHECK(parts[0].hash != parts[2].hash);
  CHECK(parts[2].hash == 0x8f5a1c9be07d4632);
  // The case of the digits and zeros in front make no other id.
  CHECK(parts[3].hash == parts[0].hash);
  CHECK(parts[4].hash == parts[2].hash);
}

TEST_CASE("Platform: reads allowed regions", "[platform][regions]") {
  const std::string form = R"({"version":7,"routes":[{"name":"r","host":"h",
      "path_prefix":"/","kind":"idempotent","service":"s",
      "allowed_regions":ROUTE}],
      "tenants":[{"name":"t","allowed_regions":["south"]},{"name":"u"}]})";
  const auto decode = [&form](const std::string& regions) {
    std::string text = form;
    text.replace(text.find("ROUTE"), 5, regions);
    return DecodeManifest(MakeObject("main", text));
  };
  const absl::StatusOr<GatewayConfig> config = decode(R"(["north","south"])");
  REQUIRE(config.ok());
  CHECK(config->routes[0].allowed_regions ==
        std::vector<RegionId>{RegionId("north"), RegionId("south")});
  CHECK(config->accounts[0].allowed_regions ==
        std::vector<RegionId>{RegionId("south")});
  CHECK(config->accounts[1].allowed_regions.empty());
  CHECK(decode("[]")->routes[0].allowed_regions.empty());
  CHECK(decode("null")->routes[0].allowed_regions.empty());
  // A list that can't be read must not be taken for no limit.
  for (const char* invalid : {"\"north\"", "[1]", "[\"\"]", "{}", "7"}) {
    INFO(invalid);
    const absl::StatusOr<GatewayConfig> refused = decode(invalid);
    REQUIRE_FALSE(refused.ok());
    CHECK(Mentions(refused.status(), "main.routes.0.allowed_regions"));
  }
}

TEST_CASE("Platform: reads the settings of zones", "[platform][evacuation]") {
  const auto parse = [](const std::string& bounds, const std::string& zones) {
    return ParseSettings(R"({"node_name":"e","region":"r","zone":"z",
        "ip":"10.0.0.1","listen":{"frontend":"a:1","ready":"b:1"},
        "platform":{"address":"c:1"},"limits":{},"bounds":{)" +
                             bounds + "}" + zones + "}",
                         "settings.json");
  };
  const absl::StatusOr<GatewaySettings> settings = parse(
      R"("evacuate_ms":5000)", R"(,"zones":{"z":{"region":"r"},"y":"q"})");
  REQUIRE(settings.ok());
  CHECK(settings->bounds.evacuate_after == std::chrono::milliseconds(5000));
  CHECK(settings->zone_regions.at(AvailabilityZoneId("z")) == RegionId("r"));
  CHECK(settings->zone_regions.at(AvailabilityZoneId("y")) == RegionId("q"));
  CHECK(settings->ignored.empty());
  const absl::StatusOr<GatewaySettings> without = parse("", "");
  REQUIRE(without.ok());
  CHECK_FALSE(without->bounds.evacuate_after.has_value());
  CHECK(without->zone_regions.empty());
  // Invalid entries are named and affect nothing else.
  for (const char* invalid : {"-1", "0", "1e12", "\"5000\"", "{}", "true"}) {
    INFO(invalid);
    const absl::StatusOr<GatewaySettings> partial =
        parse(std::string(R"("grace_s":3,"evacuate_ms":)") + invalid,
              R"(,"zones":{"z":{"region":7},"y":{"region":"q"},"x":[]})");
    REQUIRE(partial.ok());
    CHECK_FALSE(partial->bounds.evacuate_after.has_value());
    CHECK(partial->bounds.grace == std::chrono::seconds(3));
    CHECK(partial->zone_regions.size() == 1);
    REQUIRE(partial->ignored.size() == 3);
    CHECK(partial->ignored[0].find("bounds.evacuate_ms: expected a number "
                                   "from 500 to 600000, found ") == 0);
    CHECK(partial->ignored[1].find("zones.z") == 0);
    CHECK(partial->ignored[2].find("zones.x") == 0);
  }
}

}  // namespace
}  // namespace papaya::platform
