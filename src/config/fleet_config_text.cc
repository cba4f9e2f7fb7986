#include "include/config/fleet_config_text.h"

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr std::pair<UpstreamKind, const char*> kKindNames[] = {
    {UpstreamKind::kModelEngine, "model_engine"},
    {UpstreamKind::kPlainService, "plain_service"},
};

json::object WriteUpstream(const UpstreamSpec& upstream) {
  return {{"id", upstream.id.value()},
          {"vm", upstream.vm.value()},
          {"address", upstream.address},
          {"zone", upstream.zone.value()},
          {"kind", UpstreamKindName(upstream.kind)},
          {"pool", upstream.pool.value()},
          {"version", upstream.version.value()},
          {"generation", upstream.generation.value()},
          {"slots", upstream.slots},
          {"checks_fencing", upstream.checks_fencing},
          {"refusal_means_not_run", upstream.refusal_means_not_run}};
}

json::object WriteShare(const VersionShare& share) {
  return {{"pool", share.pool.value()},
          {"version", share.version.value()},
          {"share", share.share.value()},
          {"note", share.note.value()}};
}

// The string member `key`. Throws what Boost.JSON throws if there is none.
std::string ReadText(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

UpstreamSpec ReadUpstream(const json::object& object) {
  UpstreamSpec upstream;
  upstream.id = UpstreamId(ReadText(object, "id"));
  upstream.vm = VmId(ReadText(object, "vm"));
  upstream.address = ReadText(object, "address");
  upstream.zone = AvailabilityZoneId(ReadText(object, "zone"));
  upstream.kind = ParseUpstreamKind(ReadText(object, "kind"))
                      .value_or(UpstreamKind::kModelEngine);
  upstream.pool = PoolId(ReadText(object, "pool"));
  upstream.version = VersionId(ReadText(object, "version"));
  upstream.generation = GenerationId(ReadText(object, "generation"));
  upstream.slots = object.at("slots").to_number<int>();
  upstream.checks_fencing = object.at("checks_fencing").as_bool();
  upstream.refusal_means_not_run = object.at("refusal_means_not_run").as_bool();
  return upstream;
}

VersionShare ReadShare(const json::object& object) {
  VersionShare share;
  share.pool = PoolId(ReadText(object, "pool"));
  share.version = VersionId(ReadText(object, "version"));
  share.share = Permille(object.at("share").to_number<int32_t>());
  share.note = NoteId(ReadText(object, "note"));
  return share;
}

FleetConfig ReadConfig(const json::object& object) {
  FleetConfig config;
  config.revision = Revision(object.at("revision").to_number<uint64_t>());
  config.note = NoteId(ReadText(object, "note"));
  for (const json::value& upstream : object.at("upstreams").as_array()) {
    config.upstreams.push_back(ReadUpstream(upstream.as_object()));
  }
  for (const json::value& share : object.at("shares").as_array()) {
    config.shares.push_back(ReadShare(share.as_object()));
  }
  return config;
}

}  // namespace

std::string FormatFleetConfig(const FleetConfig& config) {
  json::array upstreams;
  for (const UpstreamSpec& upstream : config.upstreams) {
    upstreams.push_back(WriteUpstream(upstream));
  }
  json::array shares;
  for (const VersionShare& share : config.shares) {
    shares.push_back(WriteShare(share));
  }
  return json::serialize(json::object{{"revision", config.revision.value()},
                                      {"note", config.note.value()},
                                      {"upstreams", std::move(upstreams)},
                                      {"shares", std::move(shares)}});
}

absl::StatusOr<FleetConfig> ParseFleetConfig(const std::string& text) {
  try {
    return ReadConfig(json::parse(text).as_object());
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"config.parse", ""},
                     absl::StrCat("broken configuration: ", error.what()));
  }
}

const char* UpstreamKindName(UpstreamKind kind) {
  for (const std::pair<UpstreamKind, const char*>& entry : kKindNames) {
    if (entry.first == kind) {
      return entry.second;
    }
  }
  return "";
}

std::optional<UpstreamKind> ParseUpstreamKind(const std::string& name) {
  for (const std::pair<UpstreamKind, const char*>& entry : kKindNames) {
    if (entry.second == name) {
      return entry.first;
    }
  }
  return std::nullopt;
}

}  // namespace papaya
