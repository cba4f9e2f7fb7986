#include "include/config/fleet_config_json.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "include/base/error.h"
#include "include/config/fleet_config.h"
#include "include/config/fleet_config_check.h"
#include "include/config/upstream_kind.h"
#include "src/config/json_reader.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr int64_t kFormat = 1;
// Id, VM and address.
constexpr size_t kMemberFields = 3;

// All that the members of one group have in common.
using GroupKey = std::tuple<PoolId,
                            VersionId,
                            GenerationId,
                            AvailabilityZoneId,
                            UpstreamKind,
                            int,
                            bool,
                            bool>;

GroupKey GetGroupKey(const UpstreamSpec& upstream) {
  return {upstream.pool,           upstream.version,
          upstream.generation,     upstream.zone,
          upstream.kind,           upstream.slots,
          upstream.checks_fencing, upstream.refusal_means_not_run};
}

json::array GroupMembers(const std::vector<const UpstreamSpec*>& upstreams) {
  json::array members;
  members.reserve(upstreams.size());
  for (const UpstreamSpec* upstream : upstreams) {
    members.emplace_back(json::array{upstream->id.value(), upstream->vm.value(),
                                     upstream->address});
  }
  return members;
}

json::object GroupToJson(const std::vector<const UpstreamSpec*>& upstreams) {
  const UpstreamSpec& first = *upstreams.front();
  return {{"kind", UpstreamKindName(first.kind)},
          {"pool", first.pool.value()},
          {"version", first.version.value()},
          {"generation", first.generation.value()},
          {"zone", first.zone.value()},
          {"slots", first.slots},
          {"checks_fencing", first.checks_fencing},
          {"refusal_means_not_run", first.refusal_means_not_run},
          {"upstreams", GroupMembers(upstreams)}};
}

json::array GroupsToJson(const FleetConfig& config) {
  std::map<GroupKey, std::vector<const UpstreamSpec*>> groups;
  for (const UpstreamSpec& upstream : config.upstreams) {
    groups[GetGroupKey(upstream)].push_back(&upstream);
  }
  json::array array;
  for (const auto& [key, upstreams] : groups) {
    array.emplace_back(GroupToJson(upstreams));
  }
  return array;
}

json::array SharesToJson(const FleetConfig& config) {
  json::array array;
  for (const VersionShare& share : config.shares) {
    json::object object = {{"pool", share.pool.value()},
                           {"version", share.version.value()},
                           {"permille", share.share.value()}};
    if (!share.note.empty()) {
      object["note"] = share.note.value();
    }
    array.emplace_back(std::move(object));
  }
  return array;
}

std::string AsString(const json::value& value) {
  const json::string& text = value.get_string();
  return std::string(text.data(), text.size());
}

bool IsMember(const json::value& value) {
  const json::array* fields = value.if_array();
  return fields != nullptr && fields->size() == kMemberFields &&
         std::all_of(
             fields->begin(), fields->end(),
             [](const json::value& field) { return field.is_string(); });
}

// Reads one text; all faults go to its JsonReader.
class FleetConfigReader {
 public:
  FleetConfig Read(const json::value& root) {
    const json::object* object = reader_.AsObject("config", root);
    if (object == nullptr) {
      return {};
    }
    reader_.RefuseOtherKeys("config", *object,
                            {"format", "revision", "note", "groups", "shares"});
    ReadFormat(*object);
    FleetConfig config;
    config.revision = Revision(static_cast<uint64_t>(reader_.ReadInteger(
        "config", *object, "revision", std::numeric_limits<int64_t>::max())));
    config.note = NoteId(reader_.ReadString("config", *object, "note"));
    ReadGroups(*object, &config.upstreams);
    ReadShares(*object, &config.shares);
    Sort(&config);
    return config;
  }

  const std::vector<std::string>& faults() const { return reader_.faults(); }

 private:
  void ReadFormat(const json::object& object) {
    const int64_t format = reader_.ReadInteger(
        "config", object, "format", std::numeric_limits<int32_t>::max());
    if (format != kFormat) {
      reader_.AddFault("config.format", "expected 1");
    }
  }

  void ReadGroups(const json::object& object,
                  std::vector<UpstreamSpec>* upstreams) {
    const json::array* groups = reader_.ReadArray("config", object, "groups");
    if (groups == nullptr) {
      return;
    }
    for (size_t i = 0; i < groups->size(); ++i) {
      const std::string where = absl::StrCat("groups[", i, "]");
      const json::object* group = reader_.AsObject(where, (*groups)[i]);
      if (group != nullptr) {
        ReadGroup(where, *group, upstreams);
      }
    }
  }

  void ReadGroup(const std::string& where,
                 const json::object& group,
                 std::vector<UpstreamSpec>* upstreams) {
    reader_.RefuseOtherKeys(
        where, group,
        {"kind", "pool", "version", "generation", "zone", "slots",
         "checks_fencing", "refusal_means_not_run", "upstreams"});
    const UpstreamSpec common = ReadCommon(where, group);
    const json::array* members = reader_.ReadArray(where, group, "upstreams");
    if (members == nullptr) {
      return;
    }
    for (size_t i = 0; i < members->size(); ++i) {
      if (!IsMember((*members)[i])) {
        reader_.AddFault(absl::StrCat(where, ".upstreams[", i, "]"),
                         "expected [id, vm, address], all strings");
        continue;
      }
      const json::array& fields = (*members)[i].get_array();
      UpstreamSpec upstream = common;
      upstream.id = UpstreamId(AsString(fields[0]));
      upstream.vm = VmId(AsString(fields[1]));
      upstream.address = AsString(fields[2]);
      upstreams->push_back(std::move(upstream));
    }
  }

  UpstreamSpec ReadCommon(const std::string& where, const json::object& group) {
    UpstreamSpec common;
    const std::string kind = reader_.ReadString(where, group, "kind");
    const std::optional<UpstreamKind> parsed = ParseUpstreamKind(kind);
    if (!parsed.has_value()) {
      reader_.AddFault(where + ".kind",
                       "expected model_engine or plain_service");
    }
    common.kind = parsed.value_or(UpstreamKind::kModelEngine);
    common.pool = PoolId(reader_.ReadString(where, group, "pool"));
    common.version = VersionId(reader_.ReadString(where, group, "version"));
    common.generation =
        GenerationId(reader_.ReadString(where, group, "generation"));
    common.zone = AvailabilityZoneId(reader_.ReadString(where, group, "zone"));
    common.slots = static_cast<int>(
        reader_.ReadInteger(where, group, "slots", kMaxUpstreamSlots));
    common.checks_fencing = reader_.ReadBool(where, group, "checks_fencing");
    common.refusal_means_not_run =
        reader_.ReadBool(where, group, "refusal_means_not_run");
    return common;
  }

  void ReadShares(const json::object& object,
                  std::vector<VersionShare>* shares) {
    const json::array* array = reader_.ReadArray("config", object, "shares");
    if (array == nullptr) {
      return;
    }
    for (size_t i = 0; i < array->size(); ++i) {
      const std::string where = absl::StrCat("shares[", i, "]");
      const json::object* share = reader_.AsObject(where, (*array)[i]);
      if (share != nullptr) {
        shares->push_back(ReadShare(where, *share));
      }
    }
  }

  VersionShare ReadShare(const std::string& where, const json::object& share) {
    reader_.RefuseOtherKeys(where, share,
                            {"pool", "version", "permille", "note"});
    VersionShare result;
    result.pool = PoolId(reader_.ReadString(where, share, "pool"));
    result.version = VersionId(reader_.ReadString(where, share, "version"));
    result.share = Permille(static_cast<int32_t>(
        reader_.ReadInteger(where, share, "permille", 1000)));
    if (share.contains("note")) {
      result.note = NoteId(reader_.ReadString(where, share, "note"));
    }
    return result;
  }

  void Sort(FleetConfig* config) {
    std::sort(config->upstreams.begin(), config->upstreams.end(),
              [](const UpstreamSpec& a, const UpstreamSpec& b) {
                return a.id < b.id;
              });
    std::sort(config->shares.begin(), config->shares.end(),
              [](const VersionShare& a, const VersionShare& b) {
                return std::tie(a.pool, a.version) <
                       std::tie(b.pool, b.version);
              });
  }

  JsonReader reader_;
};

absl::Status MakeParseError(const std::vector<std::string>& faults) {
  return MakeError(absl::StatusCode::kInvalidArgument, {.step = "config.parse"},
                   absl::StrJoin(faults, "\n"));
}

}  // namespace

std::string FleetConfigToJson(const FleetConfig& config) {
  return json::serialize(json::object{{"format", kFormat},
                                      {"revision", config.revision.value()},
                                      {"note", config.note.value()},
                                      {"groups", GroupsToJson(config)},
                                      {"shares", SharesToJson(config)}});
}

absl::StatusOr<FleetConfig> ParseFleetConfigJson(const std::string& text) {
  if (text.size() > kMaxFleetConfigJsonBytes) {
    return MakeParseError({"config: longer than 1000000 bytes"});
  }
  boost::system::error_code error;
  const json::value root = json::parse(text, error);
  if (error) {
    return MakeParseError({"config: broken JSON: " + error.message()});
  }
  FleetConfigReader reader;
  FleetConfig config = reader.Read(root);
  if (!reader.faults().empty()) {
    return MakeParseError(reader.faults());
  }
  const std::vector<std::string> faults = CheckFleetConfig(config);
  if (!faults.empty()) {
    return MakeParseError(faults);
  }
  return config;
}

}  // namespace papaya
